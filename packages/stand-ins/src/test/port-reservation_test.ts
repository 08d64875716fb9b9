import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { expect, test } from 'vitest'
import { PortReservation } from '@mimosarock/stand-ins/port-reservation.js'

const RESERVATIONS = 200
/** Enough to draw each of some 28,000 free ports with a probability of a half, and one of the reserved ones in all but 1 of 10^60 runs. */
const DRAWS = 20_000

async function listen (port: number): Promise<number> {
  const server = createServer().listen(port, '127.0.0.1')
  await once(server, 'listening')
  const address = server.address()
  server.close()
  await once(server, 'close')
  return typeof address === 'object' ? address?.port ?? 0 : 0
}

// Guards against EADDRINUSE in tests: a port that was found free, closed and listened on later went to another test meanwhile.
test('a reserved port is given to nobody who asks for a free one, and servers can listen on it one after the other', async () => {
  const reservations: PortReservation[] = []
  for (let count = 0; count < RESERVATIONS; count += 1) reservations.push(await PortReservation.create())
  const reserved = new Set(reservations.map(({ port }) => port))
  const drawn = new Set<number>()
  for (let count = 0; count < DRAWS; count += 1) drawn.add(await listen(0))
  expect([...drawn].filter((port) => reserved.has(port))).toEqual([])
  const { port } = reservations[0] as PortReservation
  expect([await listen(port), await listen(port)]).toEqual([port, port])
  for (const reservation of reservations) reservation.release()
})

test('while nobody listens on a reserved port, connections to it are refused', async () => {
  const reservation = await PortReservation.create()
  const [error] = await once(connect(reservation.port, '127.0.0.1'), 'error').catch((error: NodeJS.ErrnoException) => [error])
  reservation.release()
  expect((error as NodeJS.ErrnoException).code).toBe('ECONNREFUSED')
})
