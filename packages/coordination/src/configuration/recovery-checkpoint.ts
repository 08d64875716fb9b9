import { randomUUID } from 'node:crypto'
import { create, toBinary } from '@bufbuild/protobuf'
import type { Actor, RecoverConfigurationRequest } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  CheckpointSchema, ConfigurationSchema, ConfigurationStateSchema, StreamStateSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationParts } from './configuration-parts.js'
import type { Recovery } from './recovery.js'
import { validateConfiguration } from './validate-configuration.js'

/**
 * Makes the checkpoint from which a fleet starts that has lost its configuration. It covers no more than
 * what has expired, so that it stops being valid as soon as possible: should two operators recover at once,
 * nobody starts from the loser's later.
 * @param request the configuration and the highest revision that any operator has seen
 * @param actor who asks
 * @param oldestOffset offset of the oldest record that the log still keeps
 * @param wallNowMs milliseconds since the epoch, for the audit trail
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
    configuration: new ConfigurationParts(submitted).toConfiguration(),
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
