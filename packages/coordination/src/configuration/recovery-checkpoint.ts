import { randomUUID } from 'node:crypto'
import { create, toBinary } from '@bufbuild/protobuf'
import type { Actor, RecoverConfigurationRequest } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  CheckpointSchema, ConfigurationSchema, ConfigurationStateSchema, StreamStateSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationItems } from './configuration-items.js'
import type { Recovery } from './recovery.js'
import { validateConfiguration } from './validate-configuration.js'

/**
 * Creates a checkpoint from which a fleet that has lost its configuration can start. The checkpoint covers only
 * the expired records and therefore becomes unusable as soon as further records expire: if two operators recover
 * concurrently, no router can start later from the checkpoint that took no effect.
 * @param request configuration, and the highest revision that any operator has seen
 * @param actor operator who recovers the configuration, for the audit trail
 * @param oldestOffset offset of the oldest record that the log still holds
 * @param wallNowMs current time in milliseconds since the epoch, for the audit trail
 * @returns the checkpoint with the problems of the submitted configuration
 */
export function recoveryCheckpoint (request: RecoverConfigurationRequest, actor: Actor, oldestOffset: number, wallNowMs: number): Recovery {
  const submitted = request.configuration ?? create(ConfigurationSchema)
  const checkpointId = randomUUID()
  const revision = request.lastKnownRevision + 1n
  const offset = BigInt(oldestOffset - 1)
  const atMs = BigInt(Math.round(wallNowMs))
  const state = create(ConfigurationStateSchema, {
    revision,
    offset,
    configuration: new ConfigurationItems(submitted).toConfiguration(),
    results: [{ changeId: checkpointId, code: ResultCode.OK, revision, offset }],
    audit: [{ auditId: checkpointId, actor, atMs, action: 'configuration.recover', subject: 'configuration', revision, offset }]
  })
  const foldState = toBinary(ConfigurationStateSchema, state)
  const checkpoint = create(CheckpointSchema, {
    checkpointId,
    coversOffset: offset,
    part: 0,
    parts: 1,
    state: toBinary(StreamStateSchema, create(StreamStateSchema, { foldState }))
  })
  return { checkpoint, problems: validateConfiguration(submitted) }
}
