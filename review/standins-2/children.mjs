/**
 * Ends the processes that a script has started when the script ends, however it does.
 */
const children = new Set()

/** Keeps a child process until it has ended. */
export function track (child) {
  children.add(child)
  child.once('exit', () => children.delete(child))
  return child
}

process.once('exit', () => { for (const child of children) child.kill('SIGKILL') })
// 2: the case could not run.
for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))
