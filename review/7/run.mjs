/** The operator numbers its versions by the second at which they are written. Is such a version in force in time? */
import { runConfigurationTrial } from '../standins-2/configurationTrial.mjs'

const NEXT_VERSION = 12
const MS_PER_S = 1000

await runConfigurationTrial(new URL('./', import.meta.url), hasTrouble => ({
  version: hasTrouble ? Math.floor(Date.now() / MS_PER_S) : NEXT_VERSION,
  tenants: []
}))
