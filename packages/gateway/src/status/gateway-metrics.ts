import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Bucket bounds of the latency histograms, in seconds; latency objectives are between 0.1 and 1. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8, 16]

/** Bucket bounds of the time until a slot is granted, in seconds; without a queue, it is that of a message between two zones and back. */
const SLOT_WAIT_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1]

/** Prometheus metrics of a router. */
export class GatewayMetrics {
  /** Registry of all metrics below. */
  readonly registry = new Registry()
  /** Finished requests by route, status and result code. */
  readonly requests = new Counter({
    name: 'mimosarock_requests_total',
    help: 'Requests that ended, by route, status and result code.',
    labelNames: ['route', 'status', 'code'],
    registers: [this.registry]
  })

  /** Calls to the platform's store by topic and operation. */
  readonly storeCalls = new Counter({
    name: 'mimosarock_store_calls_total',
    help: 'Calls to the store of the platform, by topic and operation.',
    labelNames: ['topic', 'operation'],
    registers: [this.registry]
  })

  /** Retries by service and outcome of the failed call. */
  readonly retries = new Counter({
    name: 'mimosarock_retries_total',
    help: 'Requests that were sent to another endpoint, by service and the outcome before.',
    labelNames: ['service', 'outcome'],
    registers: [this.registry]
  })

  /** Calls to endpoints without a complete response, by service, outcome and whether the response had begun. */
  readonly callFailures = new Counter({
    name: 'mimosarock_endpoint_call_failures_total',
    help: 'Calls to endpoints that ended without a complete answer, by service, outcome and whether the answer had begun.',
    labelNames: ['service', 'outcome', 'begun'],
    registers: [this.registry]
  })

  /** Failures of endpoints that count for their ejection, by service. */
  readonly endpointFailures = new Counter({
    name: 'mimosarock_endpoint_failures_total',
    help: 'Calls to endpoints that ended with a server error, a lost connection or a time-out, by service.',
    labelNames: ['service'],
    registers: [this.registry]
  })

  /** Ejected endpoints. */
  readonly ejectedEndpoints = new Gauge({
    name: 'mimosarock_ejected_endpoints',
    help: 'Endpoints that are left out, or get trials only, since they fail much more requests than the others of their service.',
    registers: [this.registry]
  })

  /** Crashes of endpoints with calls of this router, as noticed by it, by service. */
  readonly endpointCrashes = new Counter({
    name: 'mimosarock_endpoint_crashes_total',
    help: 'Crashes of endpoints that had not answered a request of this router, by service.',
    labelNames: ['service'],
    registers: [this.registry]
  })

  /** Quarantined prompt parts. */
  readonly quarantinedParts = new Gauge({
    name: 'mimosarock_quarantined_prompt_parts',
    help: 'Prompt parts on which endpoints have crashed and with which requests are refused.',
    registers: [this.registry]
  })

  /** Quarantined requests. */
  readonly quarantinedRequests = new Gauge({
    name: 'mimosarock_quarantined_requests',
    help: 'Requests on which endpoints have crashed each time that they came again, and which are refused.',
    registers: [this.registry]
  })

  /** Refused requests without an available endpoint in their home regions, by service. */
  readonly homeRefusals = new Counter({
    name: 'mimosarock_home_refusals_total',
    help: 'Requests that were refused because no endpoint in their home regions was available, by service.',
    labelNames: ['service'],
    registers: [this.registry]
  })

  /** Regions that the configuration names and the settings don't. */
  readonly unknownHomeRegions = new Gauge({
    name: 'mimosarock_unknown_home_regions',
    help: 'Regions that the configuration in force names and the settings of this router do not.',
    registers: [this.registry]
  })

  /** Connections that were closed because their callers read too slowly. */
  readonly slowCallersClosed = new Counter({
    name: 'mimosarock_slow_callers_closed_total',
    help: 'Connections that were closed because their callers read responses too slowly.',
    registers: [this.registry]
  })

  /** Bytes of request bodies, unfinished events and unsent responses. */
  readonly heldBytes = new Gauge({
    name: 'mimosarock_held_bytes',
    help: 'Bytes that request bodies, long unfinished events and responses that callers have not taken yet take in memory.',
    registers: [this.registry]
  })

  /** Workspaces that are limited to a share of a service. */
  readonly limitedWorkspaces = new Gauge({
    name: 'mimosarock_workspaces_over_share',
    help: 'Workspaces that ask for more than their fair share of a service that refuses requests, and are limited to it.',
    registers: [this.registry]
  })

  /** Endpoints that state a rate limit. */
  readonly limitedEndpoints = new Gauge({
    name: 'mimosarock_limited_endpoints',
    help: 'Endpoints that state how many requests a second they take from all routers together.',
    registers: [this.registry]
  })

  /** Cold endpoints of services with a warm-up rule. */
  readonly coldEndpoints = new Gauge({
    name: 'mimosarock_cold_endpoints',
    help: 'Endpoints that take few requests a second since they have started or are presumed to have.',
    registers: [this.registry]
  })

  /** Routers whose requests this router counts. */
  readonly countedRouters = new Gauge({
    name: 'mimosarock_load_counted_routers',
    help: 'Routers whose requests in flight this router counts, itself included; about the size of the fleet.',
    registers: [this.registry]
  })

  /** Part of the loads of the followed router that counts. */
  readonly fleetLoadFraction = new Gauge({
    name: 'mimosarock_load_fleet_fraction',
    help: 'Part of the loads summed up by the followed router that counts, 0 to 1; below 1 some of these routers report to this one as well.',
    registers: [this.registry]
  })

  /** Evacuated availability zones. */
  readonly evacuatedZones = new Gauge({
    name: 'mimosarock_evacuated_zones',
    help: 'Availability zones that the operator has evacuated, as this router knows.',
    registers: [this.registry]
  })

  /** Permits for requests to endpoints with a rate limit that this router got. */
  readonly permitsReceived = new Counter({
    name: 'mimosarock_rate_limit_permits_total',
    help: 'Permits for requests to endpoints with a rate limit that this router got; it may not have used all of them.',
    registers: [this.registry]
  })

  /** Time from the request head to the first byte of the response. */
  readonly firstByteSeconds = new Histogram({
    name: 'mimosarock_first_byte_seconds',
    help: 'Time from the whole head of a request to the first byte of its answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry]
  })

  /** Time from the request head to the end of the response. */
  readonly responseSeconds = new Histogram({
    name: 'mimosarock_answer_seconds',
    help: 'Time from the whole head of a request to the end of its answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry]
  })

  /** Version of the configuration in force. */
  readonly configurationVersion = new Gauge({
    name: 'mimosarock_configuration_version',
    help: 'Version of the configuration in force.',
    registers: [this.registry]
  })

  /** Staleness of the configuration: time since it was last verified to be the newest in the store. */
  readonly configurationAgeSeconds = new Gauge({
    name: 'mimosarock_configuration_age_seconds',
    help: 'Time since the store is known to have held no newer configuration.',
    registers: [this.registry]
  })

  /** Staleness of the endpoints: time since they were last verified against the store. */
  readonly endpointsAgeSeconds = new Gauge({
    name: 'mimosarock_endpoints_age_seconds',
    help: 'Time since the registered endpoints were last verified against the store.',
    registers: [this.registry]
  })

  /** Era of the store, which rises each time it comes back from an older copy. */
  readonly storeEra = new Gauge({
    name: 'mimosarock_store_era',
    help: 'Era of the store, which rises each time it comes back from an older copy.',
    registers: [this.registry]
  })

  /** Bytes of the responses of other routers to this router's calls. */
  readonly peerBytesReceived = new Counter({
    name: 'mimosarock_peer_bytes_received_total',
    help: 'Bytes received from other routers in response to calls of this router.',
    registers: [this.registry]
  })

  /** Bytes of the responses of this router to calls of other routers. */
  readonly peerBytesSent = new Counter({
    name: 'mimosarock_peer_bytes_sent_total',
    help: 'Bytes sent to other routers in response to their calls.',
    registers: [this.registry]
  })

  /** Requests for slots of small services, by service and result. */
  readonly slotGrants = new Counter({
    name: 'mimosarock_slot_grants_total',
    help: 'Requests of this router for slots of small services, by service and result.',
    labelNames: ['service', 'result'],
    registers: [this.registry]
  })

  /** Time until the answer to a request for a slot. */
  readonly slotWaitSeconds = new Histogram({
    name: 'mimosarock_slot_wait_seconds',
    help: 'Time from the request for a slot of a small service to its answer.',
    labelNames: ['service'],
    buckets: SLOT_WAIT_BUCKETS,
    registers: [this.registry]
  })

  /** Services whose slots this router grants. */
  readonly slotOwner = new Gauge({
    name: 'mimosarock_slot_owner',
    help: 'Whether this router grants the slots of a small service: 1 or absent.',
    labelNames: ['service'],
    registers: [this.registry]
  })

  /** Requests in flight, queued ones included. */
  readonly requestsInFlight = new Gauge({
    name: 'mimosarock_requests_in_work',
    help: 'Requests of callers that are not answered yet.',
    registers: [this.registry]
  })
}
