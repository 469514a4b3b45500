/** The operator writes a configuration of 290 customers with 56 keys each, a third of `value_bytes`. Is it in force in time? */
import { runConfigurationTrial } from '../standins-2/configurationTrial.mjs'

const CUSTOMER_COUNT = 290
const KEYS_PER_CUSTOMER = 56
const FEW_KEYS = 10

await runConfigurationTrial(new URL('./', import.meta.url), hasTrouble => ({
  version: 12,
  tenants: Array.from({ length: CUSTOMER_COUNT }, (_, index) => ({
    name: `studio${index}`,
    api_keys: Array.from({ length: hasTrouble ? KEYS_PER_CUSTOMER : FEW_KEYS }, (_, key) => `k${String(index).padStart(8, '0')}n${String(key).padStart(10, '0')}`)
  }))
}), { killsAll: true })
