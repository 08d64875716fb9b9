/**
 * Params of the `heartbeat` method: the sender's id, incarnation, flags and revision; its digest of members; its digest
 * of revisions; changed records; changed revisions, each followed by the ids of the routers that have it; extension
 * payloads by name.
 */
export type HeartbeatMessage = readonly [string, number, number, number, number, number, unknown[], Array<readonly [number, ...string[]]>, Record<string, unknown>]
