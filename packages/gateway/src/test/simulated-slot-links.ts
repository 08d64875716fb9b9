import { LineWriter } from '@mimosarock/gateway/grants/line-writer.js'
import { SlotClientConnection } from '@mimosarock/gateway/grants/slot-client-connection.js'
import type { SlotLink } from '@mimosarock/gateway/grants/slot-link.js'
import type { SlotLinks } from '@mimosarock/gateway/grants/slot-links.js'
import { SlotServerConnection } from '@mimosarock/gateway/grants/slot-server-connection.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import type { SlotFleetSimulation } from './slot-fleet-simulation.js'
import type { SimulatedSlotRouter } from './simulated-slot-router.js'

const LOSS_DELAY_MS = 200
const SWEEP_MS = 20

/** Links of one simulated router to the others, with delays, losses and faults. */
export class SimulatedSlotLinks implements SlotLinks {
  private readonly _open = new Map<string, { readonly link: SlotLink, readonly server: SimulatedSlotRouter, end: () => void }>()
  private readonly _down = new Set<string>()

  constructor (private readonly _fleet: SlotFleetSimulation, private readonly _router: () => SimulatedSlotRouter) {}

  linkTo ({ name }: RouterEntry): SlotLink | undefined {
    return this._open.get(name)?.link
  }

  isDown ({ name }: RouterEntry): boolean {
    return this._down.has(name)
  }

  reset ({ name }: RouterEntry): void {
    this._open.get(name)?.end()
  }

  /** Ends the links to a router; or all, if this router is killed. */
  endAll (name?: string): void {
    for (const [other, { end }] of this._open) if (name === undefined || other === name) end()
  }

  keep (wanted: readonly RouterEntry[]): void {
    for (const { name } of wanted) if (!this._open.has(name)) this._connect(name)
  }

  private _connect (name: string): void {
    const server = this._fleet.routers.find((router) => router.entry.name === name) as SimulatedSlotRouter
    const client = this._router()
    if (server.isKilled || server.isFrozen || client.isKilled || this._fleet.isCut(client, server)) {
      this._down.add(name)
      return
    }
    let isEnded = false
    const pipe = (to: SimulatedSlotRouter, receive: (line: string) => unknown): LineWriter => {
      let arrivesAt = 0
      const deliver = (text: string): void => {
        if (isEnded || this._fleet.isCut(client, server)) return
        if (to.isFrozen) {
          this._fleet.clock.sleep(SWEEP_MS).then(() => deliver(text), () => undefined)
          return
        }
        for (const line of text.split('\n')) if (line !== '') receive(line)
      }
      return new LineWriter((text) => {
        const { clock, random } = this._fleet
        arrivesAt = Math.max(arrivesAt, clock.now() + this._fleet.delay(client, server) + (random() < this._fleet.loss ? LOSS_DELAY_MS : 0) + to.processingMs)
        clock.sleep(arrivesAt - clock.now()).then(() => deliver(text), () => undefined)
      }, (flush) => flush())
    }
    const connection: SlotClientConnection = new SlotClientConnection(pipe(server, (line) => serverConnection.receive(line)))
    const serverConnection: SlotServerConnection = new SlotServerConnection(server.owners, pipe(client, (line) => connection.receive(line)), client.entry.name)
    this._down.delete(name)
    this._open.set(name, {
      link: connection,
      server,
      end: () => {
        isEnded = true
        this._open.delete(name)
        this._down.add(name)
        connection.end()
        serverConnection.end()
      }
    })
  }
}
