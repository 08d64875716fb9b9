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
const IN_FORCE_MS = 15_000

/** The main job, shown on stand-ins and three routers in one process. */
export class Demo {
  private readonly _report: DemoReport
  private readonly _caller = new DemoCaller()

  /**
   * @param report takes what is seen
   */
  constructor (report: DemoReport) {
    this._report = report
  }

  /**
   * Runs the demo.
   * @returns the fleet, still running
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
    await this._showRefusal(fleet)
    return fleet
  }

  private async _configure (fleet: Fleet, operator: OperatorClient): Promise<void> {
    this._report.section('Configuration by operators\' calls')
    const edit = create(ConfigurationEditSchema, { kind: { case: 'replaceAll', value: fleet.defaultConfiguration() } })
    await this._change(operator, edit, 0n)
    this._report.tell(`${ROUTERS} routers and ${ENGINES} engines in 3 availability zones, ${SERVICES} plain services`)
  }

  private async _change (operator: OperatorClient, edit: ConfigurationEdit, basedOnRevision: bigint): Promise<bigint> {
    const startedAt = performance.now()
    const change = await operator.commands.changeConfiguration({ changeId: randomUUID(), basedOnRevision, edits: [edit] })
    const waited = await operator.queries.waitForRevision({ revision: change.revision, timeoutMs: IN_FORCE_MS })
    const durationMs = Math.round(performance.now() - startedAt)
    this._report.check(`revision ${change.revision} in force on every router (${durationMs} ms)`, change.code === 0 && waited.inForceEverywhere)
    return change.revision
  }

  private async _showReturningChats (fleet: Fleet): Promise<void> {
    this._report.section('Returning chats, through another router each turn')
    let promptTokens = 0
    let cachedTokens = 0
    let moved = 0
    for (let chat = 0; chat < CHATS; chat += 1) {
      const endpoints: string[] = []
      for (let turn = 0; turn < ROUTERS; turn += 1) {
        const text = `the opening of gift list ${chat} with the couple's wishes, `.repeat(8)
        const answer = await this._caller.chat(fleet.callers(turn), `list-${chat}`, text, turn === 1, SHORT_TOKENS)
        endpoints.push(answer.endpoint)
        if (turn === 0) continue
        promptTokens += answer.promptTokens
        cachedTokens += answer.cachedTokens
      }
      if (new Set(endpoints).size > 1) moved += 1
      this._report.tell(`chat list-${chat} landed at ${endpoints.join(', ')}`)
    }
    this._report.check(`${cachedTokens} of ${promptTokens} prompt tokens of returning chats were reused`, cachedTokens > 0 && moved === 0)
  }

  private async _showStreams (fleet: Fleet): Promise<void> {
    this._report.section('A stream whose connection breaks')
    const text = 'a long draft'
    for (const engine of fleet.engines) engine.faults.brokenStreams = 1
    const answer = await this._caller.chat(fleet.callers(0), 'draft', text, true, LONG_TOKENS)
    const expected = new CompletionText([{ role: 'user', content: text }]).text(LONG_TOKENS)
    this._report.check('the caller got every token once and in order', answer.whole && answer.text === expected)
    for (const engine of fleet.engines) engine.faults.brokenStreams = 0
  }

  private async _showPayment (fleet: Fleet): Promise<void> {
    this._report.section('A payment sent twice, through two routers')
    const key = randomUUID()
    const first = await this._caller.pay(fleet.callers(0), key, '{"amount":25}')
    const again = await this._caller.pay(fleet.callers(1), key, '{"amount":25}')
    const runs = fleet.services.reduce((sum, service) => sum + service.runsOf(key), 0)
    this._report.tell(`answers: ${first.status} and ${again.status}`)
    this._report.check('it ran once and both callers got its answer', runs === 1 && first.status === 200 && first.text === again.text)
    const other = await this._caller.pay(fleet.callers(2), key, '{"amount":26}')
    this._report.tell(`the key with another amount was refused: ${titleOf(other.text)}`)
    this._report.check('the other amount did not run', fleet.services.reduce((sum, service) => sum + service.runsOf(key), 0) === 1)
  }

  private async _showRetirement (fleet: Fleet, operator: OperatorClient): Promise<void> {
    this._report.section('An endpoint retired while it answers')
    const first = await this._caller.chat(fleet.callers(0), 'retired', 'where does this land', false, SHORT_TOKENS)
    const streaming = this._caller.chat(fleet.callers(1), 'retired', 'where does this land', true, LONG_TOKENS)
    const retirement = create(RetirementSchema, { pool: 'chat', endpoint: first.endpoint, reason: 'shown in the demo' })
    const { revision } = await operator.queries.getConfiguration({})
    await this._change(operator, create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value: retirement } }), revision)
    const after = await this._caller.chat(fleet.callers(2), 'retired', 'where does this land', false, SHORT_TOKENS)
    this._report.tell(`${first.endpoint} is retired; the chat's next turn landed at ${after.endpoint}`)
    this._report.check('the retired endpoint gets no new work', after.endpoint !== first.endpoint)
    this._report.check('the stream that ran there was finished', (await streaming).whole)
  }

  private async _showStop (fleet: Fleet): Promise<void> {
    this._report.section('A router stopped while it serves streams')
    const streams = Array.from({ length: CHATS }, async (_, chat) => await this._caller.chat(fleet.callers(2), `stop-${chat}`, 'a long draft', true, LONG_TOKENS))
    await new Promise((resolve) => setTimeout(resolve, 100))
    const cutOff = await fleet.routers[2]?.process.stop()
    const answers = await Promise.all(streams)
    this._report.check(`${answers.length} streams finished, ${cutOff ?? 0} cut off`, cutOff === 0 && answers.every((answer) => answer.whole))
  }

  private async _showRefusal (fleet: Fleet): Promise<void> {
    this._report.section('The log service goes down')
    fleet.log.startOutage()
    const key = randomUUID()
    const refused = await this._caller.pay(fleet.callers(0), key, '{"amount":9}')
    const chat = await this._caller.chat(fleet.callers(1), 'outage', 'still there', false, SHORT_TOKENS)
    fleet.log.endOutage()
    const problem = JSON.parse(refused.text) as { code: number, run: string }
    this._report.tell(`payment refused with code ${problem.code}, ${problem.run}: ${titleOf(refused.text)}`)
    this._report.check('the refused payment did not run', problem.run === 'not-run' && fleet.services.every((service) => service.runsOf(key) === 0))
    this._report.check('chats went on', chat.whole)
  }
}

function titleOf (problem: string): string {
  return (JSON.parse(problem) as { title?: string }).title ?? ''
}
