// Standard style by neostandard, and the project's own rules: verbs, layers, read-only data, what programs may not use.
import { readFileSync } from 'node:fs'
import neostandard, { plugins } from 'neostandard'

const table = readFileSync(new URL('docs/NAMING.md', import.meta.url), 'utf8').split('## Other names')[0]
const verbs = [...table.matchAll(/^\|([^|]+)\|/gm)].flatMap(row => [...row[1].matchAll(/`([a-z]+)`/g)].map(match => match[1]))
const verbPattern = `/^_?(${verbs.join('|')})([A-Z0-9]|$)/`

const namingMessage = 'Begin a function\'s name with a verb of docs/NAMING.md.'
const restrictedSyntax = [
  { selector: `FunctionDeclaration[id.name!=${verbPattern}]`, message: namingMessage },
  { selector: `MethodDefinition[kind="method"][computed=false][override!=true][key.name!=${verbPattern}]`, message: namingMessage },
  { selector: `TSAbstractMethodDefinition[kind="method"][key.name!=${verbPattern}]`, message: namingMessage },
  { selector: `TSInterfaceBody > TSMethodSignature[key.name!=${verbPattern}][key.name!=/^on(Did|Will)?[A-Z]/]`, message: namingMessage },
  { selector: `VariableDeclarator[id.name!=${verbPattern}][id.name!=/^on[A-Z]/] > ArrowFunctionExpression.init`, message: namingMessage },
  { selector: 'ImportSpecifier[importKind="type"]', message: 'Keep type imports apart: import type { … }.' }
]
const readonlyData = { selector: 'TSPropertySignature[readonly!=true]', message: 'Data is read-only: mark the member readonly.' }

const restrictedImports = [
  { name: 'node:child_process', message: 'A process starts no other.' },
  { name: 'child_process', message: 'A process starts no other.' },
  { name: 'node:cluster', message: 'A process starts no other.' },
  { name: 'cluster', message: 'A process starts no other.' },
  { name: 'node:worker_threads', message: 'No shared memory, no threads.' },
  { name: 'worker_threads', message: 'No shared memory, no threads.' }
]

function restrictImports (patterns, paths = restrictedImports) {
  return ['error', { paths, patterns }]
}

const noPrograms = { regex: '/(gate|steward|cli|standin|load|client|entryNode)/', message: 'Imports go downwards: programs -> services -> base.' }
const noServices = { regex: '/services/', message: 'Imports go downwards: base knows nothing of the domain.' }
const noNode = { regex: '^node:|/node/', message: 'Code in common is pure and uses no Node API.' }

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'out/**', 'target/**', 'src/generated/**', 'node_modules/**'] }),
  {
    files: ['src/**/*.ts', 'bench/**/*.ts', 'platform/**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      // A promise that is meant to run on its own is marked by void.
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      'no-restricted-globals': ['error', { name: 'SharedArrayBuffer', message: 'No shared memory.' }],
      'no-restricted-syntax': ['error', ...restrictedSyntax, readonlyData],
      'no-restricted-imports': restrictImports([])
    }
  },
  { files: ['src/services/**/*.ts'], rules: { 'no-restricted-imports': restrictImports([noPrograms]) } },
  { files: ['src/services/*/common/*.ts'], rules: { 'no-restricted-imports': restrictImports([noPrograms, noNode]) } },
  { files: ['src/base/**/*.ts'], rules: { 'no-restricted-imports': restrictImports([noPrograms, noServices]) } },
  { files: ['src/base/common/*.ts'], rules: { 'no-restricted-imports': restrictImports([noPrograms, noServices, noNode]) } },
  { files: ['src/load/**/*.ts', 'bench/**/*.ts', 'platform/soak/*.ts', 'platform/test/*.ts'], rules: { 'no-restricted-imports': restrictImports([], restrictedImports.filter(item => !item.name.includes('child_process'))) } },
  // Tests may reach into any layer to build what they need, and give fakes short names.
  { files: ['src/**/test/*.ts'], rules: { 'no-restricted-imports': restrictImports([]) } }
]
