import type { Socket } from 'node:net'

/** Counts bytes written to sockets, for the control traffic metric. */
export class TrafficCounter {
  private readonly _open = new Set<Socket>()
  private _closedBytes = 0

  /** Bytes written so far by all watched sockets, open and closed. */
  get total (): number {
    let bytes = this._closedBytes
    for (const socket of this._open) bytes += socket.bytesWritten
    return bytes
  }

  /**
   * Counts what a socket writes from its start until it closes.
   * @param socket a socket that carries control traffic only
   */
  watch (socket: Socket): void {
    this._open.add(socket)
    socket.once('close', () => {
      if (this._open.delete(socket)) this._closedBytes += socket.bytesWritten
    })
  }

  /**
   * Counts bytes that were written by other means.
   * @param bytes how many
   */
  add (bytes: number): void {
    this._closedBytes += bytes
  }
}
