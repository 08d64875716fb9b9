/**
 * Params of a heartbeat: sender's id, incarnation, flags and revision; digest of members; digest of revisions;
 * changed records; changed revisions, each with the ids that have it; payloads of extensions by name.
 */
export type HeartbeatMessage = readonly [string, number, number, number, number, number, unknown[], Array<readonly [number, ...string[]]>, Record<string, unknown>]
