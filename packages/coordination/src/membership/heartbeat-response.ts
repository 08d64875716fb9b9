/**
 * Result of the `heartbeat` method: 1 if the receiver does not know the sender, else 0; the receiver's digest of
 * members; its digest of revisions; its records that are newer than the sender's; extension payloads by name.
 */
export type HeartbeatResponse = readonly [number, number, number, unknown[], Record<string, unknown>]
