import { z } from 'zod'

const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'an IP address and port, such as 127.0.0.1:8080')
const url = z.url()
const milliseconds = (minimum: number, maximum: number, defaultValue: number): z.ZodDefault<z.ZodCoercedNumber> =>
  z.coerce.number().int().min(minimum).max(maximum).default(defaultValue)
const bytes = (minimum: number, maximum: number, defaultValue: number): z.ZodDefault<z.ZodCoercedNumber> =>
  z.coerce.number().int().min(minimum).max(maximum).default(defaultValue)

const yesOrNo = (defaultValue: 'yes' | 'no'): z.ZodDefault<z.ZodEnum<{ yes: 'yes', no: 'no' }>> => z.enum(['yes', 'no']).default(defaultValue)
const path = z.string().default('')
const environmentVariable = z.string().regex(/^[A-Za-z_][A-Za-z0-9_]*$|^$/, 'the name of an environment variable').default('')

/**
 * Schema of the settings of one router process, with one object for each section of the INI file. The name of a key
 * includes its unit. The descriptions are printed in docs/SETTINGS.md.
 */
const RouterSettings = z.strictObject({
  router: z.strictObject({
    availability_zone: z.string().min(1).describe('Availability zone of this VM.')
  }),
  callers: z.strictObject({
    address: address.describe('Address on which callers and the load balancer connect; with port 0 the operating system chooses the port.'),
    maximum_header_bytes: bytes(1_024, 262_144, 16_384).describe('Maximum size of the header section of a request.'),
    maximum_body_bytes: bytes(1_024, 1_073_741_824, 16_777_216).describe('Maximum size of the body of a chat or a plain call.'),
    maximum_kept_body_bytes: bytes(1_024, 16_777_216, 1_048_576).describe('Maximum size of a body that is buffered completely: bodies of chats and of calls with an Idempotency-Key.'),
    header_timeout_ms: milliseconds(100, 600_000, 10_000).describe('Timeout for receiving the header section of a request from the caller.'),
    body_timeout_ms: milliseconds(100, 3_600_000, 60_000).describe('Timeout for receiving the whole request from the caller.')
  }),
  forwards: z.strictObject({
    address: address.describe('Address on which other routers connect to forward calls.'),
    acknowledge_timeout_ms: milliseconds(20, 60_000, 500).describe('Timeout for the owner\'s acknowledgement of a forwarded call.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not a loopback address; forwarded calls are always plain text.')
  }),
  peers: z.strictObject({
    address: address.describe('Address of the JSON-RPC 2.0 server for other routers.'),
    seeds: z.string().default('').describe('Addresses of peers from which discovery starts, in addition to those of the VM list, separated by commas.'),
    token_file: path.describe('File with the token that all routers share.'),
    token_environment: environmentVariable.describe('Environment variable with the token that all routers share, as an alternative to token_file.'),
    tls_certificate_file: path.describe('PEM file with the certificate of this router; if set, routers use TLS.'),
    tls_key_file: path.describe('PEM file with the private key of the certificate.'),
    tls_authority_file: path.describe('PEM file with the certificate of the authority that signs the certificates of all routers.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not a loopback address without TLS or a token.')
  }),
  operators: z.strictObject({
    address: address.describe('Address of the command and query services for operators.'),
    tokens_file: path.describe('File with a name and a token of at least 16 characters on each line.'),
    tokens_environment: environmentVariable.describe('Environment variable with names and tokens in the same format, as an alternative to tokens_file.'),
    tls_certificate_file: path.describe('PEM file with the server certificate for operators; if not set, connections are plain text.'),
    tls_key_file: path.describe('PEM file with the private key of the certificate.'),
    tls_client_authority_file: path.describe('PEM file with the certificate of the authority that signs the certificates of operators; if set, operators must present a certificate.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not a loopback address without TLS or tokens.')
  }),
  platform: z.strictObject({
    log_service_url: url.describe('Base URL of the log service.'),
    vm_list_url: url.describe('Base URL of the VM list.'),
    log_retention_ms: milliseconds(60_000, 31_536_000_000, 86_400_000).describe('Minimum time for which the log service retains records; checkpoints are written eight times within it.')
  }),
  membership: z.strictObject({
    heartbeat_ms: milliseconds(50, 60_000, 1_000).describe('Pause between heartbeats to one peer.'),
    suspicion_ms: milliseconds(100, 600_000, 3_000).describe('Time for which an unresponsive router is suspected before it is removed.')
  }).prefault({}),
  endpoints: z.strictObject({
    connect_timeout_ms: milliseconds(10, 60_000, 500).describe('Timeout for opening a connection to an endpoint or a router.'),
    head_timeout_ms: milliseconds(10, 600_000, 2_000).describe('Timeout for the head of a streamed response, which engines send immediately.'),
    first_byte_timeout_ms: milliseconds(50, 3_600_000, 30_000).describe('Timeout for the first byte of a response.'),
    silence_timeout_ms: milliseconds(50, 600_000, 2_000).describe('Timeout for silence within a response; a pool may set its own.'),
    load_poll_ms: milliseconds(50, 60_000, 1_000).describe('Pause between two reads of the load report of an owned endpoint.')
  }).prefault({}),
  placement: z.strictObject({
    maximum_queued: z.coerce.number().int().min(0).max(100_000).default(64).describe('Maximum number of requests queued for one owned endpoint.'),
    load_exchange_ms: milliseconds(50, 60_000, 500).describe('Pause between two exchanges of load with the home router of a pool.'),
    maximum_displaced_chats: z.coerce.number().int().min(0).max(10_000_000).default(50_000).describe('Maximum number of remembered chats that run at an endpoint other than their primary, the first in their rendezvous order.'),
    displaced_chat_keep_ms: milliseconds(1_000, 86_400_000, 3_600_000).describe('Time for which a displaced chat is remembered after its last turn.'),
    maximum_held_contexts: z.coerce.number().int().min(0).max(10_000_000).default(20_000).describe('Maximum number of chats whose contexts are remembered for one owned endpoint.'),
    cache_bytes_per_token: bytes(1, 16_777_216, 131_072).describe('Assumed cache size of one token, used until it has been measured on imports.'),
    link_bytes_per_ms: bytes(1, 1_000_000_000, 1_000_000).describe('Assumed rate of cache transfers between engines, used until it has been measured on imports.'),
    prefill_us_per_token: z.coerce.number().int().min(1).max(10_000_000).default(100).describe('Time that an engine takes to compute one prompt token, in microseconds.'),
    carry_fixed_ms: milliseconds(0, 60_000, 10).describe('Fixed part of the assumed duration of the transfer of one context.'),
    carried_bytes_per_second: bytes(0, 100_000_000_000, 50_000_000).describe('Maximum number of bytes per second that engines transfer in contexts on behalf of this router.')
  }).prefault({}),
  operations: z.strictObject({
    intent_timeout_ms: milliseconds(50, 60_000, 1_000).describe('Maximum wait until an intent is read back from the log; after it the call is rejected as not run.'),
    key_window_ms: milliseconds(60_000, 604_800_000, 86_400_000).describe('Maximum age of an accepted Idempotency-Key; choose it well below the retention of the log service.'),
    group_interval_ms: milliseconds(1, 5_000, 40).describe('Minimum pause between two appends of intents and outcomes to the log.'),
    dispatch_window_ms: milliseconds(50, 60_000, 2_000).describe('Maximum time between sending an intent and starting the call; a router that was paused for longer does not start the call.'),
    longest_pause_ms: milliseconds(1_000, 3_600_000, 120_000).describe('Maximum time for which a router may be paused in the middle of a call; after this time plus the deadline of the route an operation may be settled as not run.'),
    maximum_kept_answer_bytes: bytes(0, 1_048_576, 16_384).describe('Maximum size of a response body that is stored for later calls with the same Idempotency-Key.'),
    partitions: z.coerce.number().int().min(1).max(1_024).default(1).describe('Number of log streams over which the keys are partitioned; must be the same on every router.')
  }).prefault({}),
  orders: z.strictObject({
    lease_ms: milliseconds(1_000, 600_000, 10_000).describe('Duration of the lease for sending orders to engines, from its last renewal.'),
    stop_margin_ms: milliseconds(100, 60_000, 2_000).describe('Time before the expiry of the lease at which its holder stops sending orders.'),
    pause_allowance_ms: milliseconds(0, 3_600_000, 30_000).describe('Maximum pause of a lease holder that its successor waits out, for engines that do not check fencing numbers.'),
    pass_ms: milliseconds(100, 600_000, 2_000).describe('Pause between two passes that read the states of the engines.'),
    maximum_loads: z.coerce.number().int().min(1).max(1_000).default(2).describe('Maximum number of models that load from the weight store concurrently.')
  }).prefault({}),
  logging: z.strictObject({
    level: z.enum(['info', 'warn']).default('info').describe('Minimum level of the events that are logged.')
  }).prefault({}),
  stopping: z.strictObject({
    notice_ms: milliseconds(0, 600_000, 2_000).describe('Time between reporting not ready and refusing new connections; must be longer than the load balancer needs to notice.'),
    grace_ms: milliseconds(0, 3_600_000, 30_000).describe('Maximum time that requests in flight get to finish when the router stops.')
  }).prefault({})
})

/** Settings of one router process. */
type RouterSettings = z.infer<typeof RouterSettings>

export { RouterSettings }
