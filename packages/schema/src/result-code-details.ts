import type { ResultCodeDetail } from './result-code-detail.js'
import type { ResultCode } from './result-code.js'

/** Meaning, HTTP status and remedy of each result code; docs/ERRORS.md is printed from it. */
export const RESULT_CODE_DETAILS: Readonly<Record<keyof typeof ResultCode, ResultCodeDetail>> = {
  OK: {
    meaning: 'Done.',
    httpStatus: 200,
    ran: 'yes',
    action: 'Nothing.'
  },
  SETTINGS_FILE_UNREADABLE: {
    meaning: 'The settings file is missing or can\'t be read.',
    httpStatus: 500,
    ran: 'no',
    action: 'Check the path and the file\'s permissions.'
  },
  SETTINGS_SYNTAX: {
    meaning: 'A line of the settings file is not INI.',
    httpStatus: 500,
    ran: 'no',
    action: 'Mend the line that the message names.'
  },
  SETTINGS_UNKNOWN_KEY: {
    meaning: 'The settings file has a section or key that does not exist.',
    httpStatus: 500,
    ran: 'no',
    action: 'Compare the key with docs/SETTINGS.md.'
  },
  SETTINGS_INVALID_VALUE: {
    meaning: 'A setting\'s value has a wrong unit, form or bound.',
    httpStatus: 500,
    ran: 'no',
    action: 'Give the value as docs/SETTINGS.md says.'
  },
  SETTINGS_MISSING_KEY: {
    meaning: 'A setting without a default is not given.',
    httpStatus: 500,
    ran: 'no',
    action: 'Add the key that the message names.'
  },
  COMMAND_LINE_INVALID: {
    meaning: 'The command line has an unknown command or option.',
    httpStatus: 500,
    ran: 'no',
    action: 'Ask the binary for `--help`.'
  },
  ADDRESS_IN_USE: {
    meaning: 'An address of the settings can\'t be listened on.',
    httpStatus: 500,
    ran: 'no',
    action: 'End the other process or choose another address.'
  },
  MALFORMED_JSON: {
    meaning: 'The request body is not JSON.',
    httpStatus: 400,
    ran: 'no',
    action: 'Mend the body; the same request fails again.'
  },
  UNSUPPORTED_CONTENT_TYPE: {
    meaning: 'The request has a content type that the path does not take.',
    httpStatus: 415,
    ran: 'no',
    action: 'Send `application/json`.'
  },
  BODY_TOO_LARGE: {
    meaning: 'The request body is above the bound of the settings.',
    httpStatus: 413,
    ran: 'no',
    action: 'Send a smaller body.'
  },
  HEADERS_TOO_LARGE: {
    meaning: 'The header section is above the bound of the settings.',
    httpStatus: 431,
    ran: 'no',
    action: 'Send smaller headers.'
  },
  WORKSPACE_MISSING: {
    meaning: 'The request names no workspace.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send the header `Mimosarock-Workspace`.'
  },
  WORKSPACE_UNKNOWN: {
    meaning: 'The named workspace is not configured.',
    httpStatus: 403,
    ran: 'no',
    action: 'Correct the name, or have an operator configure it.'
  },
  MODEL_UNKNOWN: {
    meaning: 'No route serves the model.',
    httpStatus: 404,
    ran: 'no',
    action: 'Choose a model of `/v1/models`.'
  },
  ROUTE_UNKNOWN: {
    meaning: 'No route for plain services has this name.',
    httpStatus: 404,
    ran: 'no',
    action: 'Correct the path, or have an operator configure the route.'
  },
  MODEL_NOT_ALLOWED: {
    meaning: 'The workspace may not ask for this model.',
    httpStatus: 403,
    ran: 'no',
    action: 'Choose another model, or have an operator allow it.'
  },
  INVALID_REQUEST: {
    meaning: 'The request is well formed, but a field of it is not valid.',
    httpStatus: 400,
    ran: 'no',
    action: 'Mend the field that the answer names.'
  },
  METHOD_NOT_ALLOWED: {
    meaning: 'The path does not take this method.',
    httpStatus: 405,
    ran: 'no',
    action: 'Use the method that the path takes.'
  },
  PATH_UNKNOWN: {
    meaning: 'There is nothing at this path.',
    httpStatus: 404,
    ran: 'no',
    action: 'Correct the path.'
  },
  REQUEST_TIMEOUT: {
    meaning: 'The caller did not send its request in time.',
    httpStatus: 408,
    ran: 'no',
    action: 'Send again, without pauses.'
  },
  CALLER_GONE: {
    meaning: 'The caller closed its connection before the answer was complete.',
    httpStatus: 499,
    ran: 'unknown',
    action: 'Ask again with the same key, if the call has one.'
  },
  NO_ENDPOINT: {
    meaning: 'No endpoint of the pool takes work.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`; an operator should look at the pool.'
  },
  OVERLOADED: {
    meaning: 'Every endpoint of the pool is at its bound.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  RATE_LIMITED: {
    meaning: 'The workspace is above its requests a second.',
    httpStatus: 429,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  CONCURRENCY_LIMITED: {
    meaning: 'The workspace has too many requests in flight.',
    httpStatus: 429,
    ran: 'no',
    action: 'Send again when one of them has ended.'
  },
  QUEUE_FULL: {
    meaning: 'The endpoint\'s queue is full.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  DEADLINE_CANNOT_BE_MET: {
    meaning: 'The call would not end before its deadline.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again later, or with a later deadline.'
  },
  DEADLINE_EXCEEDED: {
    meaning: 'The deadline passed while the call ran.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Repeat only calls that may be repeated.'
  },
  RETRY_BUDGET_SPENT: {
    meaning: 'A retry would have been allowed, but too many calls are retries already.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  ENDPOINT_FAILED: {
    meaning: 'The endpoint refused the connection or broke it off.',
    httpStatus: 502,
    ran: 'see the answer\'s `run`',
    action: 'Repeat if `run` is `not-run` or the call may be repeated.'
  },
  ENDPOINT_SILENT: {
    meaning: 'The endpoint sent nothing for longer than the bound on silence.',
    httpStatus: 504,
    ran: 'see the answer\'s `run`',
    action: 'Repeat if `run` is `not-run` or the call may be repeated.'
  },
  STREAM_INCOMPLETE: {
    meaning: 'A streamed answer broke off and could not be resumed.',
    httpStatus: 502,
    ran: 'unknown',
    action: 'Ask again; the part received is not the whole answer.'
  },
  NOT_OWNER: {
    meaning: 'The router does not own the endpoint; sent between routers only.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the entry router chooses again.'
  },
  ENDPOINT_OVER_BOUND: {
    meaning: 'The endpoint is above its multiple of the mean load; sent between routers only.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the entry router chooses the next endpoint.'
  },
  ENDPOINT_LEAVING: {
    meaning: 'The endpoint is leaving and takes no new work; sent between routers only.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the entry router chooses the next endpoint.'
  },
  CIRCUIT_OPEN: {
    meaning: 'The endpoint failed too often and gets no work for a while.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  ROUTER_STOPPING: {
    meaning: 'The router is stopping and takes no new calls.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again; the balancer chooses another router.'
  },
  ROUTER_NOT_READY: {
    meaning: 'The router has no configuration yet that is proved current.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again after `Retry-After`.'
  },
  CONTEXT_ELSEWHERE: {
    meaning: 'Another endpoint holds the chat\'s context; sent between routers only.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the entry router goes to that endpoint.'
  },
  OWNER_UNREACHABLE: {
    meaning: 'The router that owns the endpoint did not answer.',
    httpStatus: 503,
    ran: 'see the answer\'s `run`',
    action: 'Repeat if `run` is `not-run` or the call may be repeated.'
  },
  KEY_MISSING: {
    meaning: 'The route\'s calls may not be repeated, and the call has no key.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send a new UUIDv7 as `Idempotency-Key`.'
  },
  KEY_INVALID: {
    meaning: 'The `Idempotency-Key` is not a UUIDv7, or its time lies in the future.',
    httpStatus: 400,
    ran: 'no',
    action: 'Send a UUIDv7 made with a correct clock.'
  },
  KEY_TOO_OLD: {
    meaning: 'The key is older than the window in which keys are remembered.',
    httpStatus: 422,
    ran: 'no',
    action: 'Find out what became of the first call before sending a new key.'
  },
  KEY_REUSED: {
    meaning: 'The key was used before with another request.',
    httpStatus: 422,
    ran: 'no',
    action: 'Use a new key for each different request.'
  },
  OPERATION_IN_PROGRESS: {
    meaning: 'A call with this key is running.',
    httpStatus: 409,
    ran: 'unknown',
    action: 'Ask again with the same key after `Retry-After`.'
  },
  OPERATION_IN_DOUBT: {
    meaning: 'It can\'t be told whether the call with this key ran.',
    httpStatus: 409,
    ran: 'unknown',
    action: 'Ask again later with the same key; an operator may settle it.'
  },
  ANSWER_NOT_KEPT: {
    meaning: 'The call ran, but its answer was too large to keep.',
    httpStatus: 409,
    ran: 'yes',
    action: 'Do not repeat; ask the service for the result.'
  },
  LEDGER_UNAVAILABLE: {
    meaning: 'The log service can\'t record the call, so it was not sent.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again with the same key after `Retry-After`.'
  },
  OPERATION_UNKNOWN: {
    meaning: 'No operation with this key is recorded.',
    httpStatus: 404,
    ran: 'no',
    action: 'Check the key and the workspace.'
  },
  SETTLEMENT_REFUSED: {
    meaning: 'The operation is not in doubt, so it can\'t be settled.',
    httpStatus: 409,
    ran: 'see the operation',
    action: 'Read the operation\'s state.'
  },
  OUTCOME_UNKNOWN: {
    meaning: 'The call was sent, and its outcome could not be recorded or read.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Ask again with the same key; never send a new one.'
  },
  KEY_IN_FUTURE: {
    meaning: 'The time that the key carries is ahead of the router\'s clock.',
    httpStatus: 422,
    ran: 'no',
    action: 'Set the caller\'s clock right and send a new key.'
  },
  REVISION_CONFLICT: {
    meaning: 'Another change won; the configuration is no longer at the revision that the command was based on.',
    httpStatus: 409,
    ran: 'no',
    action: 'Read what changed and base the command on the new revision.'
  },
  CONFIGURATION_INVALID: {
    meaning: 'The change would make the configuration invalid.',
    httpStatus: 422,
    ran: 'no',
    action: 'Mend the fields that the answer lists.'
  },
  REVISION_UNKNOWN: {
    meaning: 'The revision does not exist or is no longer kept.',
    httpStatus: 404,
    ran: 'no',
    action: 'List the revisions.'
  },
  CHANGE_OUTCOME_UNKNOWN: {
    meaning: 'The change was sent to the log service, and it can\'t be told yet whether it won.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Send the same command with the same change id; it takes effect at most once.'
  },
  NOTHING_CHANGED: {
    meaning: 'The configuration already is as the command wants it.',
    httpStatus: 200,
    ran: 'no',
    action: 'Nothing.'
  },
  CONFIGURATION_NOT_LOADED: {
    meaning: 'The router has no configuration that is proved current.',
    httpStatus: 503,
    ran: 'no',
    action: 'Send again; if no router has one, submit the whole configuration with `configuration recover`.'
  },
  CONFIGURATION_NAME_INVALID: {
    meaning: 'A name in the configuration has a wrong form.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose a name as the answer\'s bound says.'
  },
  CONFIGURATION_NAME_TAKEN: {
    meaning: 'A name or address stands twice in the configuration.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose another one.'
  },
  CONFIGURATION_REFERENCE_UNKNOWN: {
    meaning: 'A part of the configuration names another part that does not exist.',
    httpStatus: 422,
    ran: 'no',
    action: 'Add the other part in the same change or correct the name.'
  },
  CONFIGURATION_VALUE_OUT_OF_BOUNDS: {
    meaning: 'A value of the configuration is outside its bounds.',
    httpStatus: 422,
    ran: 'no',
    action: 'Choose a value within the answer\'s bound.'
  },
  UNAUTHENTICATED: {
    meaning: 'The operator or peer gave no valid token.',
    httpStatus: 401,
    ran: 'no',
    action: 'Give the token that the router\'s settings name.'
  },
  PEER_UNREACHABLE: {
    meaning: 'Another router can\'t be reached.',
    httpStatus: 503,
    ran: 'see the answer\'s `run`',
    action: 'Nothing; the router goes on without it.'
  },
  PEER_TIMEOUT: {
    meaning: 'Another router did not answer in time.',
    httpStatus: 504,
    ran: 'see the answer\'s `run`',
    action: 'Nothing; the router goes on without it.'
  },
  PEER_PROTOCOL: {
    meaning: 'Another router sent something that can\'t be understood.',
    httpStatus: 502,
    ran: 'see the answer\'s `run`',
    action: 'Check that all routers run compatible versions.'
  },
  PLAIN_TEXT_REFUSED: {
    meaning: 'Plain text is only allowed on loopback addresses unless the settings allow it by name.',
    httpStatus: 500,
    ran: 'no',
    action: 'Give certificate and key, or set `allow_plain_text`.'
  },
  LOG_UNAVAILABLE: {
    meaning: 'The log service did not answer in time.',
    httpStatus: 503,
    ran: 'see the answer\'s `run`',
    action: 'Send again later; chats are not touched.'
  },
  LOG_TRUNCATED: {
    meaning: 'Records that are needed have expired and no checkpoint replaces them.',
    httpStatus: 503,
    ran: 'no',
    action: 'See docs/operating/configuration.md.'
  },
  LOG_RECORD_INVALID: {
    meaning: 'A record of the log service can\'t be decoded and is passed over.',
    httpStatus: 500,
    ran: 'no',
    action: 'Find out who wrote it; the offset is in the log.'
  },
  VM_LIST_UNAVAILABLE: {
    meaning: 'The VM list did not answer.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the last list is used.'
  },
  CHECKPOINT_INVALID: {
    meaning: 'A checkpoint can\'t be decoded and is passed over.',
    httpStatus: 500,
    ran: 'no',
    action: 'Check that all routers run compatible versions.'
  },
  LEASE_NOT_HELD: {
    meaning: 'The router does not hold the lease that the action needs.',
    httpStatus: 409,
    ran: 'no',
    action: 'Nothing; the holder acts.'
  },
  ORDER_REFUSED: {
    meaning: 'The engine refused an order because it has seen a higher fencing number.',
    httpStatus: 409,
    ran: 'no',
    action: 'Nothing; a newer holder acts.'
  },
  ORDER_NOT_CONFIRMED: {
    meaning: 'The engine\'s state did not become what was ordered.',
    httpStatus: 504,
    ran: 'unknown',
    action: 'Look at the engine; the order is repeated.'
  },
  WEIGHT_BUDGET_SPENT: {
    meaning: 'Loading the model would exceed the weight store\'s rate.',
    httpStatus: 503,
    ran: 'no',
    action: 'Nothing; the order is sent when the budget allows.'
  },
  UNEXPECTED_FAILURE: {
    meaning: 'The router met an error that it does not know.',
    httpStatus: 502,
    ran: 'unknown',
    action: 'Report it with the log line of the request.'
  }
}
