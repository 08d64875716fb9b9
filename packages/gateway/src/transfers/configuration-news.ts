import type { AwaitedVersion } from '../configuration/awaited-version.js'
import type { ConfigurationPatch } from '../configuration/configuration-patch.js'
import type { EraNews } from '../model/era-news.js'

/** What a router tells another one of the configuration: what it has, what it knows to exist, and who can send it. */
export interface ConfigurationNews {
  /** Name of the answering router. */
  readonly name: string
  /** Era of the store that the answering router knows; its ages and endpoints are of this era. Undefined from an earlier version. */
  readonly storeEra?: EraNews | undefined
  /** Version of the answering router's configuration. */
  readonly configurationVersion: number
  /** Milliseconds since some router has known of that version; undefined from an earlier version of the program. */
  readonly configurationKnownMs?: number | undefined
  /** Patches from the requester's configuration to a newer one; undefined if there is none or the change is large. */
  readonly configurationPatches: readonly ConfigurationPatch[] | undefined
  /**
   * Address of the router from which the requester has to transfer a large change; undefined if the change is not
   * large, or while all routers that have it are busy.
   */
  readonly configurationSource: string | undefined
  /** Milliseconds since the configuration was last verified to be the newest in the store; -1 if never. */
  readonly configurationAgeMs: number
  /** Milliseconds since the configuration in the store was last read; -1 if never. */
  readonly configurationReadAgeMs: number
  /**
   * Milliseconds since the answering router last knew which version the store holds, although it may still be receiving that version; -1 if
   * never, undefined from an earlier version.
   */
  readonly configurationHeardAgeMs?: number | undefined
  /** Newer version of the configuration that the answering router knows to exist and lacks; undefined for none, or from an earlier version. */
  readonly awaitedConfiguration?: AwaitedVersion | undefined
}
