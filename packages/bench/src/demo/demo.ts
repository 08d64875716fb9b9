import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { createOperatorClient } from '@mimosarock/operator/create-operator-client.js'
import type { OperatorClient } from '@mimosarock/operator/operator-client.js'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RetirementSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { CompletionText } from '@mimosarock/stand-ins/engine/completion-text.js'
import { Fleet } from '../fleet/fleet.js'
import { DemoCaller } from './demo-caller.js'
import type { DemoReport } from './demo-report.js'

const ROUTERS = 3
const ENGINES = 6
const SERVICES = 2
const CHATS = 6
const SHORT_TOKENS = 8
const LONG_TOKENS = 80
const IN_FORCE_TIMEOUT_MS = 15_000

/** Demonstrates the main features with three routers and stand-ins in one process. */
export class Demo {
  private readonly _report: DemoReport
  private readonly _caller = new DemoCaller()

  /**
   * @param report receives the observations and checks
   */
  constructor (report: DemoReport) {
    this._report = report
  }

  /**
   * Runs the demo.
   * @returns the fleet, which is still running; its last router was stopped
   */
  async run (): Promise<Fleet> {
    const fleet = await Fleet.start({
      routers: ROUTERS,
      engines: Array.from({ length: ENGINES }, () => ({ models: ['m'] })),
      services: SERVICES,
      configure: false
    })
    const operator = createOperatorClient({ url: `http://${fleet.routers[0]?.addresses.operators ?? ''}` })
    await this._configure(fleet, operator)
    await this._showReturningChats(fleet)
    await this._showStreams(fleet)
    await this._showPayment(fleet)
    await this._showRetirement(fleet, operator)
    await this._showStop(fleet)
    await this._showLogOutage(fleet)
    return fleet
  }

  private async _configure (fleet: Fleet, operator: OperatorClient): Promise<void> {
    this._report.section('Configuration through the operator API')
    const edit = create(ConfigurationEditSchema, { kind: { case: 'replaceAll', value: fleet.defaultConfiguration() } })
    await this._change(operator, edit, 0n)
    this._report.info(`${ROUTERS} routers and ${ENGINES} engines in 3 availability zones, ${SERVICES} plain services`)
  }

  private async _change (operator: OperatorClient, edit: ConfigurationEdit, basedOnRevision: bigint): Promise<bigint> {
    const startedAt = performance.now()
    const change = await operator.commands.changeConfiguration({ changeId: randomUUID(), basedOnRevision, edits: [edit] })
    const waited = await operator.queries.waitForRevision({ revision: change.revision, timeoutMs: IN_FORCE_TIMEOUT_MS })
    const durationMs = Math.round(performance.now() - startedAt)
    this._report.check(`revision ${change.revision} in force on every router (${durationMs} ms)`, change.code === 0 && waited.inForceEverywhere)
    return change.revision
  }

  private async _showReturningChats (fleet: Fleet): Promise<void> {
    this._report.section('Returning chats, each turn through another router')
    let promptTokens = 0
    let cachedTokens = 0
    let moved = 0
    for (let chat = 0; chat < CHATS; chat += 1) {
      const endpoints: string[] = []
      for (let turn = 0; turn < ROUTERS; turn += 1) {
        const text = `the opening of gift list ${chat} with the couple's wishes, `.repeat(8)
        const response = await this._caller.chat(fleet.callerAddress(turn), `list-${chat}`, text, turn === 1, SHORT_TOKENS)
        endpoints.push(response.endpoint)
        if (turn === 0) continue
        promptTokens += response.promptTokens
        cachedTokens += response.cachedTokens
      }
      if (new Set(endpoints).size > 1) moved += 1
      this._report.info(`chat list-${chat} was served by ${endpoints.join(', ')}`)
    }
    this._report.check(`${cachedTokens} of ${promptTokens} prompt tokens of returning chats were reused`, cachedTokens > 0 && moved === 0)
  }

  private async _showStreams (fleet: Fleet): Promise<void> {
    this._report.section('A stream whose connection breaks')
    const text = 'a long draft'
    for (const engine of fleet.engines) engine.faults.brokenStreams = 1
    const response = await this._caller.chat(fleet.callerAddress(0), 'draft', text, true, LONG_TOKENS)
    const expected = new CompletionText([{ role: 'user', content: text }]).text(LONG_TOKENS)
    this._report.check('the caller received every token once and in order', response.isComplete && response.text === expected)
    for (const engine of fleet.engines) engine.faults.brokenStreams = 0
  }

  private async _showPayment (fleet: Fleet): Promise<void> {
    this._report.section('A payment sent twice, through two routers')
    const key = randomUUID()
    const first = await this._caller.pay(fleet.callerAddress(0), key, '{"amount":25}')
    const again = await this._caller.pay(fleet.callerAddress(1), key, '{"amount":25}')
    const runs = fleet.services.reduce((sum, service) => sum + service.runsOf(key), 0)
    this._report.info(`response status: ${first.status} and ${again.status}`)
    this._report.check('it ran once and both callers received its response', runs === 1 && first.status === 200 && first.text === again.text)
    const other = await this._caller.pay(fleet.callerAddress(2), key, '{"amount":26}')
    this._report.info(`the key with another amount was refused: ${problemTitle(other.text)}`)
    this._report.check('the other amount did not run', fleet.services.reduce((sum, service) => sum + service.runsOf(key), 0) === 1)
  }

  private async _showRetirement (fleet: Fleet, operator: OperatorClient): Promise<void> {
    this._report.section('An endpoint retired while it serves a stream')
    const first = await this._caller.chat(fleet.callerAddress(0), 'retired', 'where does this land', false, SHORT_TOKENS)
    const streaming = this._caller.chat(fleet.callerAddress(1), 'retired', 'where does this land', true, LONG_TOKENS)
    const retirement = create(RetirementSchema, { pool: 'chat', endpoint: first.endpoint, reason: 'shown in the demo' })
    const { revision } = await operator.queries.getConfiguration({})
    await this._change(operator, create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value: retirement } }), revision)
    const after = await this._caller.chat(fleet.callerAddress(2), 'retired', 'where does this land', false, SHORT_TOKENS)
    this._report.info(`${first.endpoint} is retired; the chat's next turn was served by ${after.endpoint}`)
    this._report.check('the retired endpoint receives no new requests', after.endpoint !== first.endpoint)
    this._report.check('the stream in flight at the retired endpoint finished', (await streaming).isComplete)
  }

  private async _showStop (fleet: Fleet): Promise<void> {
    this._report.section('A router stopped while it serves streams')
    const streams = Array.from({ length: CHATS }, async (_, chat) => await this._caller.chat(fleet.callerAddress(2), `stop-${chat}`, 'a long draft', true, LONG_TOKENS))
    await new Promise((resolve) => setTimeout(resolve, 100))
    const cutOff = await fleet.routers[2]?.process.stop()
    const responses = await Promise.all(streams)
    this._report.check(`${responses.length} streams finished, ${cutOff ?? 0} cut off`, cutOff === 0 && responses.every((response) => response.isComplete))
  }

  private async _showLogOutage (fleet: Fleet): Promise<void> {
    this._report.section('An outage of the log service')
    fleet.log.startOutage()
    const key = randomUUID()
    const refused = await this._caller.pay(fleet.callerAddress(0), key, '{"amount":9}')
    const chat = await this._caller.chat(fleet.callerAddress(1), 'outage', 'still there', false, SHORT_TOKENS)
    fleet.log.endOutage()
    const problem = JSON.parse(refused.text) as { code: number, run: string }
    this._report.info(`payment refused with code ${problem.code}, ${problem.run}: ${problemTitle(refused.text)}`)
    this._report.check('the refused payment did not run', problem.run === 'not-run' && fleet.services.every((service) => service.runsOf(key) === 0))
    this._report.check('chats are served during the outage', chat.isComplete)
  }
}

function problemTitle (problem: string): string {
  return (JSON.parse(problem) as { title?: string }).title ?? ''
}
