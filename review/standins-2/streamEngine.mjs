/**
 * A stand-in of an engine whose answers are streams, as a process of its own, after PROTOCOL.md: answers have no length and finish with
 * their channel; a health probe waits for a slot as a request does. Arguments: id, host, port (0 for a free one), slots, number of
 * events, the pause between them, for how long it is slow after its start, and how much later it then answers, in milliseconds. Tells
 * on standard output, in JSON lines, what it does.
 */
import { createServer } from 'node:http'

const [id, host, port, slots, eventCount, pauseMs, slowForMs, slowByMs] = process.argv.slice(2).map((word, index) => index < 2 ? word : Number(word))
const QUEUE = 30
const queue = []
const startedAt = Date.now()
let running = 0

function tell (what) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), engine: id, ...what })}\n`)
}

function answerNow (response, status, headers) {
  response.writeHead(status, { ...headers, 'Content-Length': 0 }).end()
}

function admit (work, refuse) {
  if (running < slots) return begin(work)
  if (queue.length >= QUEUE) return refuse()
  queue.push(work)
}

function begin (work) {
  running++
  let hasEnded = false
  work(() => {
    if (hasEnded) return
    hasEnded = true
    running--
    const next = queue.shift()
    if (next !== undefined) begin(next)
  })
}

function runStream (request, response, requestId, end) {
  tell({ run: requestId })
  response.useChunkedEncodingByDefault = false
  response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Attempt-Id': requestId, 'Server-Seal': `${id}.${requestId}`, Connection: 'close' })
  response.flushHeaders()
  let count = 0
  const timer = setInterval(() => {
    count++
    response.write(`id: ${count}\ndata: ${id} ${requestId} ${count} of ${eventCount}\n\n`)
    tell({ event: count, of: requestId })
    if (count < eventCount) return
    clearInterval(timer)
    response.end()
    tell({ whole: requestId })
    end()
  }, pauseMs)
  response.once('close', () => {
    clearInterval(timer)
    if (count < eventCount) tell({ dropped: requestId })
    end()
  })
}

const server = createServer((request, response) => {
  if (Date.now() - startedAt < slowForMs) setTimeout(() => handle(request, response), slowByMs)
  else handle(request, response)
})

function handle (request, response) {
  const { headers, url } = request
  request.resume()
  const expected = headers['expect-instance']
  const requestId = headers['attempt-id']
  const echoed = requestId === undefined ? {} : { 'Attempt-Id': requestId }
  if (expected !== undefined && expected !== id) return answerNow(response, 421, { 'Not-Run': '1', ...echoed })
  if (url === '/health') {
    return admit(end => {
      answerNow(response, 200, { 'Instance-Id': id })
      end()
    }, () => answerNow(response, 503, { 'Not-Run': '1' }))
  }
  if (requestId === undefined) return answerNow(response, 400, { 'Not-Run': '1' })
  admit(end => {
    if (response.destroyed) return end()
    runStream(request, response, requestId, end)
  }, () => answerNow(response, 503, { 'Not-Run': '1', ...echoed }))
}

server.listen(port, host, () => tell({ port: server.address().port }))
