import type { ContextKey } from '@connectrpc/connect'
import { createContextKey } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import type { Actor } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Context key of the authenticated operator who sent a request. */
export const OPERATOR_ACTOR: ContextKey<Actor> = createContextKey(create(ActorSchema), { description: 'operator' })
