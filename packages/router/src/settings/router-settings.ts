import { z } from 'zod'

const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'an IP number and port, such as 127.0.0.1:8080')
const url = z.url()
const milliseconds = (minimum: number, maximum: number, value: number): z.ZodDefault<z.ZodCoercedNumber> =>
  z.coerce.number().int().min(minimum).max(maximum).default(value)
const bytes = (minimum: number, maximum: number, value: number): z.ZodDefault<z.ZodCoercedNumber> =>
  z.coerce.number().int().min(minimum).max(maximum).default(value)

const yesOrNo = (value: 'yes' | 'no'): z.ZodDefault<z.ZodEnum<{ yes: 'yes', no: 'no' }>> => z.enum(['yes', 'no']).default(value)
const path = z.string().default('')
const environmentVariable = z.string().regex(/^[A-Za-z_][A-Za-z0-9_]*$|^$/, 'the name of an environment variable').default('')

/**
 * Settings of one router process, one object a section of the INI file. Each key carries its unit in its name;
 * its description is what docs/SETTINGS.md prints.
 */
const RouterSettings = z.strictObject({
  router: z.strictObject({
    availability_zone: z.string().min(1).describe('Availability zone of this VM.')
  }),
  callers: z.strictObject({
    address: address.describe('Where callers and the balancer connect; port 0 lets the system pick.'),
    maximum_header_bytes: bytes(1_024, 262_144, 16_384).describe('Largest header section of a request.'),
    maximum_body_bytes: bytes(1_024, 1_073_741_824, 16_777_216).describe('Largest body of a chat or a plain call.'),
    maximum_kept_body_bytes: bytes(1_024, 16_777_216, 1_048_576).describe('Largest body that is held whole: chats, and calls with an Idempotency-Key.'),
    header_timeout_ms: milliseconds(100, 600_000, 10_000).describe('Longest time in which a caller sends its header section.'),
    body_timeout_ms: milliseconds(100, 3_600_000, 60_000).describe('Longest time in which a caller sends its whole request.')
  }),
  forwards: z.strictObject({
    address: address.describe('Where other routers send forwarded calls.'),
    acknowledge_timeout_ms: milliseconds(20, 60_000, 500).describe('Bound on the wait for the owner\'s acknowledgement of a forwarded call.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not loopback; forwarded calls are plain text.')
  }),
  peers: z.strictObject({
    address: address.describe('Where other routers reach the json-rpc-2.0 server.'),
    seeds: z.string().default('').describe('Peer addresses to start from beside the VM list, separated by commas.'),
    token_file: path.describe('File with the token that all routers share.'),
    token_environment: environmentVariable.describe('Environment variable with that token, in place of a file.'),
    tls_certificate_file: path.describe('PEM file with this router\'s certificate; routers then use TLS.'),
    tls_key_file: path.describe('PEM file with the certificate\'s private key.'),
    tls_authority_file: path.describe('PEM file with the authority that signs all routers\' certificates.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not loopback without TLS.')
  }),
  operators: z.strictObject({
    address: address.describe('Where operators reach the command and query services.'),
    tokens_file: path.describe('File with a name and a token of at least 16 characters on each line.'),
    tokens_environment: environmentVariable.describe('Environment variable with those lines, in place of a file.'),
    tls_certificate_file: path.describe('PEM file with the certificate shown to operators; without it, plain text.'),
    tls_key_file: path.describe('PEM file with the certificate\'s private key.'),
    tls_client_authority_file: path.describe('PEM file with the authority that signs operators\' certificates, if they must show one.'),
    allow_plain_text: yesOrNo('no').describe('Allows an address that is not loopback without TLS or tokens.')
  }),
  platform: z.strictObject({
    log_service_url: url.describe('Base URL of the log service.'),
    vm_list_url: url.describe('Base URL of the VM list.'),
    log_retention_ms: milliseconds(60_000, 31_536_000_000, 86_400_000).describe('How long the log service keeps records, at least; checkpoints are written eight times in it.')
  }),
  membership: z.strictObject({
    heartbeat_ms: milliseconds(50, 60_000, 1_000).describe('Pause between heartbeats to one peer.'),
    suspicion_ms: milliseconds(100, 600_000, 3_000).describe('How long a silent router stays a suspect before it is removed.')
  }).prefault({}),
  endpoints: z.strictObject({
    connect_timeout_ms: milliseconds(10, 60_000, 500).describe('Bound on opening a connection to an endpoint or a router.'),
    head_timeout_ms: milliseconds(10, 600_000, 2_000).describe('Bound on the wait for the head of a streamed answer, which engines send at once.'),
    first_byte_timeout_ms: milliseconds(50, 3_600_000, 30_000).describe('Bound on the wait for the first byte of an answer.'),
    silence_timeout_ms: milliseconds(50, 600_000, 2_000).describe('Bound on silence within an answer; a pool may set its own.'),
    load_poll_ms: milliseconds(50, 60_000, 1_000).describe('Pause between load reports read from an owned endpoint.')
  }).prefault({}),
  placement: z.strictObject({
    maximum_queued: z.coerce.number().int().min(0).max(100_000).default(64).describe('Most requests that wait for one owned endpoint.'),
    load_exchange_ms: milliseconds(50, 60_000, 500).describe('Pause between two exchanges of load with the home router of a pool.'),
    maximum_displaced_chats: z.coerce.number().int().min(0).max(10_000_000).default(50_000).describe('Most chats remembered that run elsewhere than at the first endpoint of their order.'),
    displaced_chat_keep_ms: milliseconds(1_000, 86_400_000, 3_600_000).describe('How long such a chat is remembered without a turn.'),
    maximum_held_contexts: z.coerce.number().int().min(0).max(10_000_000).default(20_000).describe('Most chats whose context is remembered for one owned endpoint.'),
    cache_bytes_per_token: bytes(1, 16_777_216, 131_072).describe('Size of the cache of one token, until imports have shown it.'),
    link_bytes_per_ms: bytes(1, 1_000_000_000, 1_000_000).describe('Rate at which caches move between engines, until imports have shown it.'),
    prefill_us_per_token: z.coerce.number().int().min(1).max(10_000_000).default(100).describe('Time that an engine takes to compute one prompt token, in microseconds.'),
    carry_fixed_ms: milliseconds(0, 60_000, 10).describe('Fixed time of carrying one context.'),
    carried_bytes_per_second: bytes(0, 100_000_000_000, 50_000_000).describe('Most bytes of contexts that engines carry for this router.')
  }).prefault({}),
  operations: z.strictObject({
    intent_timeout_ms: milliseconds(50, 60_000, 1_000).describe('Longest wait for an intent to be read back before the call is refused as not run.'),
    key_window_ms: milliseconds(60_000, 604_800_000, 86_400_000).describe('Age up to which an Idempotency-Key is taken; well below the retention of the log service.'),
    group_interval_ms: milliseconds(1, 5_000, 40).describe('Shortest pause between two appends of intents and outcomes.'),
    dispatch_window_ms: milliseconds(50, 60_000, 2_000).describe('Longest time between sending an intent and starting the call; a router that was paused for longer does not start it.'),
    longest_pause_ms: milliseconds(1_000, 3_600_000, 120_000).describe('Longest time for which a router may be paused in the middle of a call; beyond it and the route\'s deadline an operation may be settled as not run.'),
    maximum_kept_answer_bytes: bytes(0, 1_048_576, 16_384).describe('Largest answer that is kept for later calls with the same Idempotency-Key.'),
    partitions: z.coerce.number().int().min(1).max(1_024).default(1).describe('Streams that the keys are split into; the same on every router.')
  }).prefault({}),
  orders: z.strictObject({
    lease_ms: milliseconds(1_000, 600_000, 10_000).describe('How long the lease to give orders to engines holds after a renewal.'),
    stop_margin_ms: milliseconds(100, 60_000, 2_000).describe('How long before the end of its lease the holder gives its last order.'),
    pause_allowance_ms: milliseconds(0, 3_600_000, 30_000).describe('Longest pause of a holder that the next one waits out, for engines that do not check fencing numbers.'),
    pass_ms: milliseconds(100, 600_000, 2_000).describe('Pause between two looks at what the engines hold.'),
    maximum_loads: z.coerce.number().int().min(1).max(1_000).default(2).describe('Models that may load from the weight store at once.')
  }).prefault({}),
  logging: z.strictObject({
    level: z.enum(['info', 'warn']).default('info').describe('Lowest level of events that are logged.')
  }).prefault({}),
  stopping: z.strictObject({
    notice_ms: milliseconds(0, 600_000, 2_000).describe('Time between not being ready and taking no new connections; longer than the balancer needs to notice.'),
    grace_ms: milliseconds(0, 3_600_000, 30_000).describe('Longest time given to requests in flight when the router stops.')
  }).prefault({})
})

/** Settings of one router process. */
type RouterSettings = z.infer<typeof RouterSettings>

export { RouterSettings }
