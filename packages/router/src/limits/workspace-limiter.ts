import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Enforces the rate and concurrency limits of workspaces. */
export interface WorkspaceLimiter {
  /**
   * Admits one request of a workspace.
   * @param workspace configuration of the workspace with its limits
   * @param signal cancels the wait for a decision
   * @returns a function that releases the concurrency slot; to be called when the request has ended
   * @throws {MimosarockError} RATE_LIMITED or CONCURRENCY_LIMITED
   */
  acquire (workspace: Workspace, signal: AbortSignal): Promise<() => void>
}
