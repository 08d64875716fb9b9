import { create } from '@bufbuild/protobuf'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema, LogEntrySchema, PlacementGoal, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import { PlainServiceStandIn } from '@mimosarock/stand-ins/plain-service-stand-in.js'
import { VmListStandIn } from '@mimosarock/stand-ins/vm-list-stand-in.js'
import { RouterSettings } from '../settings/router-settings.js'
import type { RouterAddresses } from '../wiring/router-addresses.js'
import { RouterProcess } from '../wiring/router-process.js'

const LOOPBACK = '127.0.0.1:0'
const MODEL = 'assistant'
const POLL_MS = 5
const WAIT_MS = 15_000

/** Routers and stand-ins for tests. All of them run in this process and listen on free ports. */
export class RouterFixture {
  readonly log = new LogServiceStandIn()
  readonly vmList = new VmListStandIn()
  readonly engines: ModelEngineStandIn[] = []
  readonly service = new PlainServiceStandIn()
  readonly routers: RouterProcess[] = []
  readonly addresses: RouterAddresses[] = []

  async start (routers: number, engines: number): Promise<void> {
    await Promise.all([this.log.start(), this.vmList.start(), this.service.start()])
    for (let index = 0; index < engines; index += 1) {
      const engine = new ModelEngineStandIn({ models: [MODEL] })
      await engine.start()
      this.engines.push(engine)
    }
    for (let index = 0; index < routers; index += 1) await this.addRouter(`router-${index}`)
  }

  async addRouter (routerId: string): Promise<RouterProcess> {
    const settings = RouterSettings.parse({
      router: { availability_zone: 'a' },
      callers: { address: LOOPBACK, header_timeout_ms: 1_000, body_timeout_ms: 2_000, maximum_body_bytes: 100_000, maximum_kept_body_bytes: 50_000 },
      forwards: { address: LOOPBACK },
      peers: { address: LOOPBACK },
      operators: { address: LOOPBACK },
      platform: { log_service_url: this.log.url, vm_list_url: this.vmList.url },
      membership: { heartbeat_ms: 100, suspicion_ms: 300 },
      endpoints: { silence_timeout_ms: 500, first_byte_timeout_ms: 5_000 },
      stopping: { notice_ms: 50 }
    })
    const router = new RouterProcess({
      settings, logService: this.log, vmList: this.vmList, clock: new SystemClock(), eventLog: new SilentEventLog(), routerId
    })
    const addresses = await router.start()
    this.vmList.set({ name: routerId, role: 'router', address: addresses.peers, availabilityZone: 'a', leaving: false })
    this.routers.push(router)
    this.addresses.push(addresses)
    return router
  }

  configuration (): Configuration {
    return create(ConfigurationSchema, {
      workspaces: [{ name: 'alpha' }, { name: 'limited', models: ['other'] }],
      pools: [
        {
          name: 'chat',
          kind: PoolKind.MODEL,
          goal: PlacementGoal.REUSE,
          loadMultiple: 1.25,
          queueWaitMs: 500,
          silenceMs: 500,
          endpoints: this.engines.map((engine, index) => ({ name: `engine-${index}`, address: engine.address, availabilityZone: 'a', capacity: 16 }))
        },
        {
          name: 'gifts',
          kind: PoolKind.SERVICE,
          goal: PlacementGoal.SKEW,
          loadMultiple: 1.25,
          endpoints: [{ name: 'gifts-0', address: this.service.address, availabilityZone: 'a', capacity: 16 }]
        }
      ],
      routes: [
        { name: 'chat', model: MODEL, pool: 'chat', repeatable: true, deadlineMs: 20_000 },
        { name: 'other', model: 'other', pool: 'chat', repeatable: true, deadlineMs: 20_000 },
        { name: 'lists', pool: 'gifts', repeatable: true, deadlineMs: 5_000 },
        { name: 'payments', pool: 'gifts', repeatable: false, deadlineMs: 5_000 }
      ]
    })
  }

  /** Submits the configuration and waits until every router is ready and counts all routers as live. */
  async configure (): Promise<void> {
    const router = this.routers[0]
    if (router === undefined) throw new Error('the fixture has no router')
    await router.components.streams.configurationAppender.append(create(LogEntrySchema, {
      kind: {
        case: 'configurationChange',
        value: {
          changeId: 'first',
          basedOnRevision: 0n,
          actor: { name: 'test', source: 'test' },
          edits: [{ kind: { case: 'replaceAll', value: this.configuration() } }]
        }
      }
    }), WAIT_MS)
    const result = router.components.streams.configuration.fold.resultOf('first')
    if (result?.code !== 0) throw new Error(`the configuration was rejected: ${result?.code} ${result?.detail}`)
    await this.until(() => this.routers.every((other) => other.reasonNotReady() === undefined && other.components.membership.live().length === this.routers.length))
  }

  url (router: number): string {
    return `http://${this.addresses[router]?.callers ?? ''}`
  }

  async until (condition: () => boolean): Promise<void> {
    const endAt = Date.now() + WAIT_MS
    while (!condition()) {
      if (Date.now() > endAt) throw new Error('the condition was not met within the time limit')
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  async stop (): Promise<void> {
    for (const router of this.routers) await router.kill()
    await Promise.all([...this.engines, this.service, this.log, this.vmList].map(async (server) => await server.stop()))
  }
}
