/** Maximum number of workspaces in a demand report; a few large ones cause a surge, and all others count as one. */
export const MAXIMUM_REPORTED_WORKSPACES = 8
