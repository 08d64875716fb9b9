/** Kinds of events of a simulation of the load bound. */
export type LoadBoundEventKind =
  /** More requests arrive. */
  | 'burst'
  /** Routers are replaced by new processes, which know no loads. */
  | 'routers start'
  /** Routers hear no loads of others. */
  | 'routers are cut off'
  /** Endpoints end with their requests, and return without contexts. */
  | 'endpoints crash and return'
  /** Endpoints get no more requests and end those that they have. */
  | 'endpoints leave'
  /** A zone, a third of the endpoints, gets no more requests; it still counts in the mean. */
  | 'a zone is evacuated'
  /** Endpoints are left out since they fail requests. */
  | 'endpoints are ejected'
