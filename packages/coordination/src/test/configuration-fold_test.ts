import { create, toJson } from '@bufbuild/protobuf'
import fastCheck from 'fast-check'
import { expect, test } from 'vitest'
import type { ConfigurationChange, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationChangeSchema, ConfigurationEditSchema, ConfigurationSchema, LogEntrySchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationFold } from '../configuration/configuration-fold.js'
import { sampleConfiguration } from './sample-configuration.js'

function fold (target: ConfigurationFold, offset: number, change: ConfigurationChange): void {
  const entry = create(LogEntrySchema, { kind: { case: 'configurationChange', value: change } })
  target.apply(entry, { offset, writerId: 'w', sequence: offset, writtenAtMs: 1_000 + offset })
}

function replaceAll (): ConfigurationEdit {
  return create(ConfigurationEditSchema, { kind: { case: 'replaceAll', value: sampleConfiguration() } })
}

function setWorkspace (name: string, priority: number): ConfigurationEdit {
  const value = create(WorkspaceSchema, { name, priority })
  return create(ConfigurationEditSchema, { kind: { case: 'setWorkspace', value } })
}

function change (changeId: string, basedOn: number, ...edits: ConfigurationEdit[]): ConfigurationChange {
  return create(ConfigurationChangeSchema, { changeId, basedOnRevision: BigInt(basedOn), edits, actor: { name: 'ann', source: '10.1.1.1' } })
}

function summary (target: ConfigurationFold, changeId: string): string {
  const result = target.resultOf(changeId)
  return result === undefined ? 'none' : `${result.code} r${result.revision} @${result.offset} ${result.detail}`
}

test('of two changes that race the one at the lower offset wins and the other learns what changed', () => {
  const state = new ConfigurationFold()
  fold(state, 1, change('first', 0, replaceAll()))
  const loser = change('loser', 1, setWorkspace('beta', 2))
  fold(state, 2, change('winner', 1, setWorkspace('beta', 1)))
  fold(state, 3, loser)
  expect(summary(state, 'winner')).toBe('0 r2 @2 ')
  expect(state.resultOf('loser')?.code).toBe(ResultCode.REVISION_CONFLICT)
  expect(state.evaluate(loser).changes.map((part) => part.subject)).toEqual(['workspace/beta'])
  expect(state.index.workspaces.get('beta')?.priority).toBe(1)
})

test('a change id that was folded keeps its first result', () => {
  const state = new ConfigurationFold()
  fold(state, 1, change('same', 0, replaceAll()))
  fold(state, 2, change('same', 1, setWorkspace('beta', 1)))
  expect(summary(state, 'same')).toBe('0 r1 @1 ')
  expect(state.index.workspaces.has('beta')).toBe(false)
})

test('refused changes leave the revision and stand in the audit trail', () => {
  const state = new ConfigurationFold()
  fold(state, 1, change('first', 0, replaceAll()))
  fold(state, 2, change('invalid', 1, setWorkspace('beta', 99)))
  fold(state, 3, change('nothing', 1, replaceAll()))
  fold(state, 4, change('missing', 1, create(ConfigurationEditSchema, { kind: { case: 'removePool', value: 'lost' } })))
  expect(['invalid', 'nothing', 'missing'].map((id) => summary(state, id))).toMatchInlineSnapshot(`
    [
      "5002 r1 @2 1 invalid: workspaces[beta].priority",
      "5005 r1 @3 the configuration is already so",
      "5002 r1 @4 1 invalid: edits[0].remove_pool",
    ]
  `)
  expect(state.findAudit({ actor: 'ann', fromMs: 1_002 }).map((entry) => entry.code)).toEqual([5002, 5005, 5002])
  expect(state.findAudit({ workspace: 'alpha' }).map((entry) => entry.subject)).toEqual(['workspace/alpha'])
})

test('a rollback makes the earlier content a new revision', () => {
  const state = new ConfigurationFold()
  fold(state, 1, change('first', 0, replaceAll()))
  fold(state, 2, change('second', 1, setWorkspace('beta', 2)))
  fold(state, 3, change('third', 2, setWorkspace('alpha', 1)))
  fold(state, 4, create(ConfigurationChangeSchema, { changeId: 'back', basedOnRevision: 3n, rollbackToRevision: 1n }))
  expect(state.index.revision).toBe(4)
  expect(state.configurationAt(1)).toEqual(state.index.configuration)
  expect([...(state.configurationAt(3)?.workspaces ?? [])].map((workspace) => workspace.name)).toEqual(['alpha', 'beta'])
  fold(state, 5, create(ConfigurationChangeSchema, { changeId: 'lost', basedOnRevision: 4n, rollbackToRevision: 9n }))
  expect(state.resultOf('lost')?.code).toBe(ResultCode.REVISION_UNKNOWN)
})

test('folding from any checkpoint gives the state of folding from the start, and the revision never falls', () => {
  const step = fastCheck.record({ basedOn: fastCheck.nat(6), name: fastCheck.constantFrom('a', 'b', 'c'), priority: fastCheck.nat(11), rollBackTo: fastCheck.nat(3) })
  fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 20 }), fastCheck.nat(20), (steps, cut) => {
    const whole = new ConfigurationFold()
    let resumed = new ConfigurationFold()
    steps.forEach((item, index) => {
      if (index === cut) {
        const restored = new ConfigurationFold()
        restored.decodeState(resumed.encodeState())
        resumed = restored
      }
      const before = whole.index.revision
      const edits = item.rollBackTo > 0 ? [] : [setWorkspace(item.name, item.priority)]
      const next = change(`id-${index % 12}`, item.basedOn, ...edits)
      next.rollbackToRevision = BigInt(item.rollBackTo)
      fold(whole, index + 1, next)
      fold(resumed, index + 1, next)
      expect(whole.index.revision).toBeGreaterThanOrEqual(before)
    })
    expect(resumed.index.revision).toBe(whole.index.revision)
    expect(toJson(ConfigurationSchema, resumed.index.configuration)).toEqual(toJson(ConfigurationSchema, whole.index.configuration))
    expect(resumed.encodeState()).toEqual(whole.encodeState())
  }), { seed: 7, numRuns: 200 })
})
