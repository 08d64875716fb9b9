import { create, toJson } from '@bufbuild/protobuf'
import fastCheck from 'fast-check'
import { expect, test } from 'vitest'
import type { ConfigurationChange, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationChangeSchema, ConfigurationEditSchema, ConfigurationSchema, LogEntrySchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationFold } from '../configuration/configuration-fold.js'
import { sampleConfiguration } from './sample-configuration.js'

function applyChange (target: ConfigurationFold, offset: number, change: ConfigurationChange): void {
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

function createChange (changeId: string, basedOn: number, ...edits: ConfigurationEdit[]): ConfigurationChange {
  return create(ConfigurationChangeSchema, { changeId, basedOnRevision: BigInt(basedOn), edits, actor: { name: 'ann', source: '10.1.1.1' } })
}

function summary (target: ConfigurationFold, changeId: string): string {
  const result = target.resultOf(changeId)
  return result === undefined ? 'none' : `${result.code} r${result.revision} @${result.offset} ${result.detail}`
}

test('of two concurrent changes, the one at the lower offset is accepted and the other gets the conflicting items', () => {
  const state = new ConfigurationFold()
  applyChange(state, 1, createChange('first', 0, replaceAll()))
  const loser = createChange('loser', 1, setWorkspace('beta', 2))
  applyChange(state, 2, createChange('winner', 1, setWorkspace('beta', 1)))
  applyChange(state, 3, loser)
  expect(summary(state, 'winner')).toBe('0 r2 @2 ')
  expect(state.resultOf('loser')?.code).toBe(ResultCode.REVISION_CONFLICT)
  expect(state.evaluate(loser).changes.map((itemChange) => itemChange.subject)).toEqual(['workspace/beta'])
  expect(state.index.workspaces.get('beta')?.priority).toBe(1)
})

test('a repeated change id keeps its first result', () => {
  const state = new ConfigurationFold()
  applyChange(state, 1, createChange('same', 0, replaceAll()))
  applyChange(state, 2, createChange('same', 1, setWorkspace('beta', 1)))
  expect(summary(state, 'same')).toBe('0 r1 @1 ')
  expect(state.index.workspaces.has('beta')).toBe(false)
})

test('rejected changes keep the revision and are recorded in the audit trail', () => {
  const state = new ConfigurationFold()
  applyChange(state, 1, createChange('first', 0, replaceAll()))
  applyChange(state, 2, createChange('invalid', 1, setWorkspace('beta', 99)))
  applyChange(state, 3, createChange('nothing', 1, replaceAll()))
  applyChange(state, 4, createChange('missing', 1, create(ConfigurationEditSchema, { kind: { case: 'removePool', value: 'lost' } })))
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

test('a rollback creates a new revision with the earlier content', () => {
  const state = new ConfigurationFold()
  applyChange(state, 1, createChange('first', 0, replaceAll()))
  applyChange(state, 2, createChange('second', 1, setWorkspace('beta', 2)))
  applyChange(state, 3, createChange('third', 2, setWorkspace('alpha', 1)))
  applyChange(state, 4, create(ConfigurationChangeSchema, { changeId: 'back', basedOnRevision: 3n, rollbackToRevision: 1n }))
  expect(state.index.revision).toBe(4)
  expect(state.configurationAt(1)).toEqual(state.index.configuration)
  expect([...(state.configurationAt(3)?.workspaces ?? [])].map((workspace) => workspace.name)).toEqual(['alpha', 'beta'])
  applyChange(state, 5, create(ConfigurationChangeSchema, { changeId: 'lost', basedOnRevision: 4n, rollbackToRevision: 9n }))
  expect(state.resultOf('lost')?.code).toBe(ResultCode.REVISION_UNKNOWN)
})

test('resuming from any checkpoint gives the same state as applying the stream from the start, and the revision never decreases', () => {
  const step = fastCheck.record({ basedOn: fastCheck.nat(6), name: fastCheck.constantFrom('a', 'b', 'c'), priority: fastCheck.nat(11), rollBackTo: fastCheck.nat(3) })
  fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 20 }), fastCheck.nat(20), (steps, restoreIndex) => {
    const uninterrupted = new ConfigurationFold()
    let resumed = new ConfigurationFold()
    steps.forEach((stepValues, index) => {
      if (index === restoreIndex) {
        const restored = new ConfigurationFold()
        restored.decodeState(resumed.encodeState())
        resumed = restored
      }
      const before = uninterrupted.index.revision
      const edits = stepValues.rollBackTo > 0 ? [] : [setWorkspace(stepValues.name, stepValues.priority)]
      const next = createChange(`id-${index % 12}`, stepValues.basedOn, ...edits)
      next.rollbackToRevision = BigInt(stepValues.rollBackTo)
      applyChange(uninterrupted, index + 1, next)
      applyChange(resumed, index + 1, next)
      expect(uninterrupted.index.revision).toBeGreaterThanOrEqual(before)
    })
    expect(resumed.index.revision).toBe(uninterrupted.index.revision)
    expect(toJson(ConfigurationSchema, resumed.index.configuration)).toEqual(toJson(ConfigurationSchema, uninterrupted.index.configuration))
    expect(resumed.encodeState()).toEqual(uninterrupted.encodeState())
  }), { seed: 7, numRuns: 200 })
})
