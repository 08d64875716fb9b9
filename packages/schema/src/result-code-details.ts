import type { ResultCodeDetail } from './result-code-detail.js'
import type { ResultCode } from './result-code.js'

/** Meaning, HTTP status and recommended action of each result code; source of the page docs/ERRORS.md. */
export const RESULT_CODE_DETAILS: Readonly<Record<keyof typeof ResultCode, ResultCodeDetail>> = {
  OK: {
    meaning: 'Success.',
    httpStatus: 200,
    ran: 'yes',
    action: 'None.'
  },
  SETTINGS_FILE_UNREADABLE: {
    meaning: 'The settings file, or a file that it refers to, does not exist or cannot be read.',
    httpStatus: 500,
    ran: 'no',
    action: 'Check the path and the permissions of the file.'
  },
  SETTINGS_SYNTAX: {
    meaning: 'A line of the settings file is not valid INI syntax.',
    httpStatus: 500,
    ran: 'no',
    action: 'Correct the line given in the message.'
  },
  SETTINGS_UNKNOWN_KEY: {
    meaning: 'The settings file contains an unknown section or key.',
    httpStatus: 500,
    ran: 'no',
    action: 'Compare the section and key with docs/SETTINGS.md.'
  },
  SETTINGS_INVALID_VALUE: {
    meaning: 'The value of a setting has the wrong unit or format, or is out of range.',
    httpStatus: 500,
    ran: 'no',
    action: 'Correct the value as described in docs/SETTINGS.md.'
  },
  SETTINGS_MISSING_KEY: {
    meaning: 'A required setting, or the environment variable that a setting refers to, is missing.',
    httpStatus: 500,
    ran: 'no',
    action: 'Add the key or variable given in the message.'
  },
  COMMAND_LINE_INVALID: {
    meaning: 'The command line contains an unknown command or option, an invalid value, or the path of a file that cannot be read.',
    httpStatus: 500,
    ran: 'no',
    action: 'Run the command with `--help`.'
  },
  ADDRESS_IN_USE: {
    meaning: 'The process cannot listen on an address in the settings.',
    httpStatus: 500,
    ran: 'no',
    action: 'Stop the other process or choose another address.'
  },
  MALFORMED_JSON: {
    meaning: 'The request body is not valid JSON.',
    httpStatus: 400,
    ran: 'no',
    action: 'Correct the body; the unchanged request fails again.'
  },
  UNSUPPORTED_CONTENT_TYPE: {
    meaning: 'The path does not accept the content type of the request.',
    httpStatus: 415,
    ran: 'no',
    action: 'Send `application/json`.'
  },
  BODY_TOO_LARGE: {
    meaning: 'The request body exceeds the size limit in the settings.',
    httpStatus: 413,
    ran: 'no',
    action: 'Send a smaller body.'
  },
  HEADERS_TOO_LARGE: {
    meaning: 'The request headers exceed the size limit in the settings.',
    httpStatus: 431,
    ran: 'no',
    action: 'Send smaller headers.'
  },
  WORKSPACE_MISSING: {
    meaning: 'The request does not specify a workspace.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send the header `Mimosarock-Workspace`.'
  },
  WORKSPACE_UNKNOWN: {
    meaning: 'The specified workspace is not configured.',
    httpStatus: 403,
    ran: 'no',
    action: 'Correct the name, or have an operator configure the workspace.'
  },
  MODEL_UNKNOWN: {
    meaning: 'No route serves the model.',
    httpStatus: 404,
    ran: 'no',
    action: 'Use a model listed at `/v1/models`.'
  },
  ROUTE_UNKNOWN: {
    meaning: 'No route for plain services has this name.',
    httpStatus: 404,
    ran: 'no',
    action: 'Correct the path, or have an operator configure the route.'
  },
  MODEL_NOT_ALLOWED: {
    meaning: 'The workspace is not allowed to use this model.',
    httpStatus: 403,
    ran: 'no',
    action: 'Use another model, or have an operator allow this one.'
  },
  INVALID_REQUEST: {
    meaning: 'The request is not valid HTTP, or one of its fields is invalid.',
    httpStatus: 400,
    ran: 'no',
    action: 'Correct the request; the response gives the invalid field, if any.'
  },
  METHOD_NOT_ALLOWED: {
    meaning: 'The path does not support this method.',
    httpStatus: 405,
    ran: 'no',
    action: 'Use a method that the path supports.'
  },
  PATH_UNKNOWN: {
    meaning: 'The path does not exist.',
    httpStatus: 404,
    ran: 'no',
    action: 'Correct the path.'
  },
  REQUEST_TIMEOUT: {
    meaning: 'The caller did not send the complete request in time.',
    httpStatus: 408,
    ran: 'no',
    action: 'Retry, and send the request without pauses.'
  },
  CALLER_GONE: {
    meaning: 'The caller disconnected before the response was complete.',
    httpStatus: 499,
    ran: 'unknown',
    action: 'Retry with the same key if the call has one.'
  },
  NO_ENDPOINT: {
    meaning: 'No endpoint of the pool is available.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`; an operator should check the pool.'
  },
  OVERLOADED: {
    meaning: 'All endpoints of the pool have reached their load limit.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  RATE_LIMITED: {
    meaning: 'The workspace exceeds its limit of requests per second.',
    httpStatus: 429,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  CONCURRENCY_LIMITED: {
    meaning: 'The workspace has reached its limit of requests in flight.',
    httpStatus: 429,
    ran: 'no',
    action: 'Retry when one of its requests has finished.'
  },
  QUEUE_FULL: {
    meaning: 'The queue of the endpoint is full.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  DEADLINE_CANNOT_BE_MET: {
    meaning: 'The call cannot finish before its deadline.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry later or with a later deadline.'
  },
  DEADLINE_EXCEEDED: {
    meaning: 'The deadline passed before the call finished.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Retry only if the call may be repeated.'
  },
  RETRY_BUDGET_SPENT: {
    meaning: 'The call could have been retried, but the retry budget is exhausted.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  ENDPOINT_FAILED: {
    meaning: 'The endpoint refused or closed the connection, or sent an invalid response.',
    httpStatus: 502,
    ran: 'see `run` in the response',
    action: 'Retry if `run` is `not-run` or the call may be repeated.'
  },
  ENDPOINT_SILENT: {
    meaning: 'The endpoint sent no data within the silence timeout.',
    httpStatus: 504,
    ran: 'see `run` in the response',
    action: 'Retry if `run` is `not-run` or the call may be repeated.'
  },
  STREAM_INCOMPLETE: {
    meaning: 'A streamed response was interrupted and could not be resumed.',
    httpStatus: 502,
    ran: 'unknown',
    action: 'Retry; the part received is not the complete response.'
  },
  NOT_OWNER: {
    meaning: 'The router does not own the endpoint; sent only between routers.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the entry router chooses again.'
  },
  ENDPOINT_OVER_BOUND: {
    meaning: 'The load of the endpoint exceeds its multiple of the mean load; sent only between routers.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the entry router chooses the next endpoint.'
  },
  ENDPOINT_LEAVING: {
    meaning: 'The endpoint is leaving and accepts no new requests; sent only between routers.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the entry router chooses the next endpoint.'
  },
  CIRCUIT_OPEN: {
    meaning: 'The circuit breaker of the endpoint is open after repeated failures.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  ROUTER_STOPPING: {
    meaning: 'The router is stopping and accepts no new calls.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry; the load balancer chooses another router.'
  },
  ROUTER_NOT_READY: {
    meaning: 'The router has not finished starting.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the time in `Retry-After`.'
  },
  CONTEXT_ELSEWHERE: {
    meaning: 'Another endpoint has the context of the chat in its cache; sent only between routers.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the entry router sends the call to that endpoint.'
  },
  OWNER_UNREACHABLE: {
    meaning: 'The router that owns the endpoint is unreachable or did not respond.',
    httpStatus: 503,
    ran: 'see `run` in the response',
    action: 'Retry if `run` is `not-run` or the call may be repeated.'
  },
  PROMPT_QUARANTINED: {
    meaning: 'Endpoints have crashed on requests with a part of this prompt, and none has answered one since.',
    httpStatus: 503,
    ran: 'no',
    action: 'Change the prompt, or retry after `Retry-After`; the operator finds the part in the log (`prompt-part-quarantined`).'
  },
  REQUEST_QUARANTINED: {
    meaning: 'Endpoints have crashed on this request when it came before, and none has answered it since.',
    httpStatus: 503,
    ran: 'no',
    action: 'Change the request, or retry after `Retry-After`; the operator finds it in the log by its fingerprint (`request-quarantined`).'
  },
  ENDPOINTS_EVACUATED: {
    meaning: 'All endpoints of the service are in availability zones that the operator has evacuated.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after `Retry-After`; the operator ends the evacuation or adds endpoints in another zone.'
  },
  HOME_UNAVAILABLE: {
    meaning: 'No endpoint is available in a region in which the request may run, by the home regions of its route and its workspace.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after `Retry-After`; the operator checks `allowedRegions` and the regions of the zones in the settings.'
  },
  ENDPOINT_LOAD_INVALID: {
    meaning: 'An endpoint states its load in an invalid form; the statement is ignored.',
    httpStatus: 500,
    ran: 'no',
    action: 'Check the endpoint given in the log. Requests are routed without the statement.'
  },
  REQUEST_SIZE_INVALID: {
    meaning: 'A caller states the size of a request in an invalid form; the statement is ignored.',
    httpStatus: 400,
    ran: 'no',
    action: 'Correct the number of tokens. Such requests count with the mean size of their route.'
  },
  CALLER_TOO_SLOW: {
    meaning: 'The caller reads its response too slowly, and the router needs the memory that the response occupies.',
    httpStatus: 503,
    ran: 'unknown',
    action: 'Read responses as they arrive.'
  },
  WORKSPACE_OVER_SHARE: {
    meaning: 'The service has no free capacity, and the workspace asks for more than its max-min fair share of it.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after `Retry-After`, or send fewer requests.'
  },
  KEY_MISSING: {
    meaning: 'Calls to the route may run at most once, and the call has no key.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send a new UUIDv7 as `Idempotency-Key`.'
  },
  KEY_INVALID: {
    meaning: 'The `Idempotency-Key` is not a UUID, or it is not a UUIDv7 and `Idempotency-Key-Time` is missing or invalid.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send a UUIDv7, or another UUID with its creation time in `Idempotency-Key-Time`.'
  },
  KEY_TOO_OLD: {
    meaning: 'The key is older than the window for which the ledger stores keys.',
    httpStatus: 422,
    ran: 'no',
    action: 'Find out the outcome of the first call before sending a new key.'
  },
  KEY_REUSED: {
    meaning: 'The key was already used for a different request.',
    httpStatus: 422,
    ran: 'no',
    action: 'Use a new key for each request.'
  },
  OPERATION_IN_PROGRESS: {
    meaning: 'A call with this key is in progress.',
    httpStatus: 409,
    ran: 'unknown',
    action: 'Retry with the same key after the time in `Retry-After`.'
  },
  OPERATION_IN_DOUBT: {
    meaning: 'It is unknown whether the call with this key ran.',
    httpStatus: 409,
    ran: 'unknown',
    action: 'Retry later with the same key; an operator can settle the operation.'
  },
  ANSWER_NOT_KEPT: {
    meaning: 'The call ran, but its response was too large to store.',
    httpStatus: 409,
    ran: 'yes',
    action: 'Do not repeat the call; query the service for the result.'
  },
  LEDGER_UNAVAILABLE: {
    meaning: 'The operation could not be recorded in time, and the call was not sent.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry with the same key after the time in `Retry-After`.'
  },
  OPERATION_UNKNOWN: {
    meaning: 'No operation with this key is recorded.',
    httpStatus: 404,
    ran: 'no',
    action: 'Check the key and the workspace.'
  },
  SETTLEMENT_REFUSED: {
    meaning: 'The operation cannot be settled: it is neither in progress nor in doubt, the requested state is invalid, or a paused router might still run it.',
    httpStatus: 409,
    ran: 'see the state of the operation',
    action: 'Check the state of the operation.'
  },
  OUTCOME_UNKNOWN: {
    meaning: 'The call was sent, but its outcome could not be recorded or read.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Retry with the same key; never send a new key.'
  },
  KEY_IN_FUTURE: {
    meaning: 'The timestamp of the key is too far ahead of the router\'s clock.',
    httpStatus: 422,
    ran: 'no',
    action: 'Correct the caller\'s clock and send a new key.'
  },
  REVISION_CONFLICT: {
    meaning: 'The configuration is no longer at the revision on which the command was based, or a recovery was requested for a configuration that is not lost.',
    httpStatus: 409,
    ran: 'no',
    action: 'Review the conflicting changes and base the command on the new revision.'
  },
  CONFIGURATION_INVALID: {
    meaning: 'The submitted configuration is invalid, or the change would make it invalid.',
    httpStatus: 422,
    ran: 'no',
    action: 'Correct the fields listed in the response.'
  },
  REVISION_UNKNOWN: {
    meaning: 'The revision does not exist or is no longer stored.',
    httpStatus: 404,
    ran: 'no',
    action: 'List the stored revisions.'
  },
  CHANGE_OUTCOME_UNKNOWN: {
    meaning: 'The change was sent to the log service, but it is not known yet whether it took effect.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Repeat the command with the same change id; the change takes effect at most once.'
  },
  NOTHING_CHANGED: {
    meaning: 'The configuration already matches the requested change.',
    httpStatus: 200,
    ran: 'no',
    action: 'None.'
  },
  CONFIGURATION_NOT_LOADED: {
    meaning: 'The router does not have a configuration that is known to be current.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry; if no router has a configuration, submit the whole configuration with `configuration recover`.'
  },
  CONFIGURATION_NAME_INVALID: {
    meaning: 'A name in the configuration has an invalid format.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose a name that matches the bound given in the response.'
  },
  CONFIGURATION_NAME_TAKEN: {
    meaning: 'A name or address is used more than once in the configuration.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose another name or address.'
  },
  CONFIGURATION_REFERENCE_UNKNOWN: {
    meaning: 'A command or a configuration part refers to a part that does not exist.',
    httpStatus: 422,
    ran: 'no',
    action: 'Add the missing part in the same change, or correct the reference.'
  },
  CONFIGURATION_VALUE_OUT_OF_BOUNDS: {
    meaning: 'A value in the configuration is out of range.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose a value within the bound given in the response.'
  },
  ZONE_UNKNOWN: {
    meaning: 'A record of the operator names an availability zone in which no endpoint and no router is known.',
    httpStatus: 422,
    ran: 'no',
    action: 'Check the name of the zone. The record stays in force.'
  },
  REGION_UNKNOWN: {
    meaning: 'The configuration names a region that the settings of the router do not know.',
    httpStatus: 422,
    ran: 'no',
    action: 'Check the name, and the section `regions` of the settings. No endpoint of that region is used.'
  },
  WARM_UP_INVALID: {
    meaning: 'A warm-up time or rate is negative or not a number; the last valid one stays in force.',
    httpStatus: 422,
    ran: 'no',
    action: 'Correct the value given in the log.'
  },
  HOME_REGIONS_INVALID: {
    meaning: 'The home regions of a route or workspace are not a list of names; the last valid list stays in force.',
    httpStatus: 422,
    ran: 'no',
    action: 'Correct the list. Without a valid one, requests are refused with 3023.'
  },
  CONFIGURATION_OUTDATED: {
    meaning: 'The router knows, or cannot rule out, that there is a newer version of the configuration: the one in force does not allow the request, or has been out of date for too long to decide.',
    httpStatus: 503,
    ran: 'no',
    action: 'Retry after the stated time; the newer version arrives within seconds, and other routers may have it.'
  },
  UNAUTHENTICATED: {
    meaning: 'The caller, operator or peer did not present a valid API key or token.',
    httpStatus: 401,
    ran: 'no',
    action: 'Present a configured API key, or a token from the settings of the router.'
  },
  PEER_UNREACHABLE: {
    meaning: 'Another router is unreachable.',
    httpStatus: 503,
    ran: 'see `run` in the response',
    action: 'None; the router continues without it.'
  },
  PEER_TIMEOUT: {
    meaning: 'Another router did not respond in time, or closed the connection during the call.',
    httpStatus: 504,
    ran: 'see `run` in the response',
    action: 'None; the router continues without it.'
  },
  PEER_PROTOCOL: {
    meaning: 'Another router sent a message that violates the protocol.',
    httpStatus: 502,
    ran: 'see `run` in the response',
    action: 'Check that all routers run compatible versions.'
  },
  PLAIN_TEXT_REFUSED: {
    meaning: 'Unencrypted connections are restricted to loopback addresses unless the settings explicitly allow them.',
    httpStatus: 500,
    ran: 'no',
    action: 'Configure a certificate and its key, or set `allow_plain_text`.'
  },
  LOG_UNAVAILABLE: {
    meaning: 'The log service is unreachable, reported an error or did not respond in time.',
    httpStatus: 503,
    ran: 'see `run` in the response',
    action: 'Retry later; chats are not affected.'
  },
  LOG_TRUNCATED: {
    meaning: 'Required log records have expired, and no checkpoint covers them.',
    httpStatus: 503,
    ran: 'no',
    action: 'See docs/operating/configuration.md.'
  },
  LOG_RECORD_INVALID: {
    meaning: 'A record of the log service cannot be decoded and is skipped.',
    httpStatus: 500,
    ran: 'no',
    action: 'Identify the writer of the record; the router\'s log contains its offset.'
  },
  VM_LIST_UNAVAILABLE: {
    meaning: 'The VM list is unavailable or could not be read.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the router continues to use the last list.'
  },
  CHECKPOINT_INVALID: {
    meaning: 'A checkpoint cannot be decoded and is skipped.',
    httpStatus: 500,
    ran: 'no',
    action: 'Check that all routers run compatible versions.'
  },
  STORE_ERA_INVALID: {
    meaning: 'An answer of the store does not state its era, or states something that is not a whole number; the newest era known stays in force.',
    httpStatus: 503,
    ran: 'no',
    action: 'Check the store: without its era, routers do not notice that it has come back from an older copy.'
  },
  STORE_ANSWER_OUTDATED: {
    meaning: 'An answer of the store is of an earlier era than the newest one known and is ignored, because it was delayed or comes from an older copy.',
    httpStatus: 503,
    ran: 'no',
    action: 'None if it occurs once after the store came back. Otherwise check which copy of the store answers.'
  },
  LEASE_NOT_HELD: {
    meaning: 'The router does not hold the lease required for the action.',
    httpStatus: 409,
    ran: 'no',
    action: 'None; the lease holder performs the action.'
  },
  ORDER_REFUSED: {
    meaning: 'The engine rejected an order because it has seen a higher fencing number.',
    httpStatus: 409,
    ran: 'no',
    action: 'None; a newer lease holder performs the action.'
  },
  ORDER_NOT_CONFIRMED: {
    meaning: 'The engine did not confirm an order.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Check the engine; the order is repeated.'
  },
  WEIGHT_BUDGET_SPENT: {
    meaning: 'Loading the model would exceed the rate limit of the weight store.',
    httpStatus: 503,
    ran: 'no',
    action: 'None; the order is sent when the budget allows.'
  },
  UNEXPECTED_FAILURE: {
    meaning: 'An unexpected error occurred in the router.',
    httpStatus: 502,
    ran: 'unknown',
    action: 'Report it with the log line of the request.'
  }
}
