import type { Socket } from 'node:net'

/** Counts the bytes written to sockets, for the control traffic metric. */
export class TrafficCounter {
  private readonly _open = new Set<Socket>()
  private _closedBytes = 0

  /** Total bytes written, by watched sockets (open and closed) and as reported by `add`. */
  get total (): number {
    let bytes = this._closedBytes
    for (const socket of this._open) bytes += socket.bytesWritten
    return bytes
  }

  /**
   * Counts all bytes that a socket writes, from its creation until it closes.
   * @param socket a socket that carries only control traffic
   */
  watch (socket: Socket): void {
    this._open.add(socket)
    socket.once('close', () => {
      if (this._open.delete(socket)) this._closedBytes += socket.bytesWritten
    })
  }

  /**
   * Adds bytes that were not written by a watched socket.
   * @param bytes number of bytes
   */
  add (bytes: number): void {
    this._closedBytes += bytes
  }
}
