/** What a router knows of the regions of availability zones. */
export interface HomeRegionsOptions {
  /** Region of each availability zone, by name of the zone. */
  readonly regions: Readonly<Record<string, string>>
  /** Availability zone of this router. */
  readonly availabilityZone: string
  /** Region of this router; undefined if the settings name none. */
  readonly region: string | undefined
}
