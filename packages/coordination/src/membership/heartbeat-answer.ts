/**
 * Answer to a heartbeat: 1 if the sender is unknown here, else 0; digest of members; digest of revisions;
 * records that are newer here; payloads of extensions by name.
 */
export type HeartbeatAnswer = readonly [number, number, number, unknown[], Record<string, unknown>]
