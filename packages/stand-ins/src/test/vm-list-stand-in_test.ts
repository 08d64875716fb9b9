import type { Clock } from '@mimosarock/coordination/clock.js'
import { HttpVmList } from '@mimosarock/coordination/http-vm-list.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { VmListStandIn } from '@mimosarock/stand-ins/vm-list-stand-in.js'
import { afterEach, expect, test } from 'vitest'

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const stop of cleanups.splice(0)) await stop()
})

class SettableClock extends SystemClock implements Clock {
  time = 0

  override now (): number {
    return this.time
  }
}

type Connect = (standIn: VmListStandIn, clientName: string) => Promise<VmList>

const cases: ReadonlyArray<{ name: string, arrange: (standIn: VmListStandIn, clock: SettableClock) => void }> = [
  { name: 'an empty list', arrange: () => {} },
  { name: 'a router and an endpoint', arrange: addTwoVms },
  {
    name: 'a VM that leaves',
    arrange: (standIn) => {
      addTwoVms(standIn)
      standIn.markLeaving('vm-1')
    }
  },
  {
    name: 'a VM that is gone',
    arrange: (standIn) => {
      addTwoVms(standIn)
      standIn.remove('vm-1')
    }
  },
  {
    name: 'a change within the lag',
    arrange: (standIn, clock) => {
      addTwoVms(standIn)
      clock.time = 5_000
      standIn.remove('vm-1')
      standIn.faults.lagMs = 2_000
      clock.time = 6_999
    }
  },
  {
    name: 'the same change past the lag',
    arrange: (standIn, clock) => {
      addTwoVms(standIn)
      clock.time = 5_000
      standIn.remove('vm-1')
      standIn.faults.lagMs = 2_000
      clock.time = 7_000
    }
  },
  {
    name: 'a lag of one asker only',
    arrange: (standIn, clock) => {
      addTwoVms(standIn)
      clock.time = 5_000
      standIn.remove('vm-1')
      standIn.faults.lagMsByClient.set('router-b', 2_000)
    }
  },
  {
    name: 'a VM hidden from one asker',
    arrange: (standIn) => {
      addTwoVms(standIn)
      standIn.faults.hiddenFromClient.set('router-b', new Set(['vm-2']))
    }
  },
  {
    name: 'an outage',
    arrange: (standIn) => {
      standIn.faults.outage = true
    }
  }
]

function addTwoVms (standIn: VmListStandIn): void {
  standIn.set({ name: 'vm-1', role: 'router', address: '10.0.0.1:7000', availabilityZone: 'a', leaving: false })
  standIn.set({ name: 'vm-2', role: 'endpoint', address: '10.0.0.2:8000', availabilityZone: 'b', leaving: false })
}

async function describeList (list: VmList): Promise<string> {
  return await list.list().then(
    (entries) => entries.map((entry) => `${entry.name} ${entry.role} ${entry.address} ${entry.availabilityZone}${entry.leaving ? ' leaving' : ''}`).join(', ') || 'none',
    (error) => error instanceof MimosarockError ? `code ${error.code}` : `unexpected error ${String(error)}`
  )
}

async function runCases (connect: Connect): Promise<string> {
  const lines: string[] = []
  for (const { name, arrange } of cases) {
    const clock = new SettableClock()
    const standIn = new VmListStandIn(clock)
    arrange(standIn, clock)
    lines.push(`${name}: a sees ${await describeList(await connect(standIn, 'router-a'))}; b sees ${await describeList(await connect(standIn, 'router-b'))}`)
  }
  return lines.join('\n')
}

async function overHttp (standIn: VmListStandIn, clientName: string): Promise<VmList> {
  if (standIn.server.address.endsWith(':0')) {
    await standIn.start()
    cleanups.push(() => standIn.stop())
  }
  const client = new HttpVmList(standIn.url, clientName)
  cleanups.push(() => client.close())
  return client
}

test('the VM list gives the same results in process and over HTTP', async () => {
  const direct = await runCases(async (standIn, clientName) => standIn.viewOf(clientName))
  expect(direct).toMatchInlineSnapshot(`
    "an empty list: a sees none; b sees none
    a router and an endpoint: a sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b; b sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b
    a VM that leaves: a sees vm-1 router 10.0.0.1:7000 a leaving, vm-2 endpoint 10.0.0.2:8000 b; b sees vm-1 router 10.0.0.1:7000 a leaving, vm-2 endpoint 10.0.0.2:8000 b
    a VM that is gone: a sees vm-2 endpoint 10.0.0.2:8000 b; b sees vm-2 endpoint 10.0.0.2:8000 b
    a change within the lag: a sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b; b sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b
    the same change past the lag: a sees vm-2 endpoint 10.0.0.2:8000 b; b sees vm-2 endpoint 10.0.0.2:8000 b
    a lag of one asker only: a sees vm-2 endpoint 10.0.0.2:8000 b; b sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b
    a VM hidden from one asker: a sees vm-1 router 10.0.0.1:7000 a, vm-2 endpoint 10.0.0.2:8000 b; b sees vm-1 router 10.0.0.1:7000 a
    an outage: a sees code 7004; b sees code 7004"
  `)
  expect(await runCases(overHttp)).toBe(direct)
})

test('a closed port makes the list unavailable', async () => {
  const standIn = new VmListStandIn()
  await standIn.start()
  await standIn.stop()
  expect(await describeList(await overHttp(standIn, 'a'))).toBe('code 7004')
})
