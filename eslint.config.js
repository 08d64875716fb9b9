import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'

/**
 * Reports every export of a module after the first. Types that the exported value uses can be declared in the same
 * module without an export.
 */
const oneExport = {
  meta: { type: 'suggestion', schema: [], messages: { many: 'A file must have a single export; move "{{name}}" to its own file.' } },
  create (context) {
    let exported = 0
    const report = (node, name) => {
      exported += 1
      if (exported > 1) context.report({ node, messageId: 'many', data: { name } })
    }
    return {
      ExportNamedDeclaration (node) {
        const declaration = node.declaration
        if (declaration?.declarations) {
          for (const item of declaration.declarations) report(node, item.id.name)
        } else if (declaration) {
          report(node, declaration.id?.name)
        } else {
          for (const specifier of node.specifiers) report(node, specifier.exported.name)
        }
      },
      ExportDefaultDeclaration (node) { report(node, 'default') },
      ExportAllDeclaration (node) { report(node, '*') }
    }
  }
}

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', 'packages/schema/src/gen/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/**/*.ts'],
    plugins: { jsdoc, local: { rules: { 'one-export': oneExport } } },
    rules: {
      'local/one-export': 'error',
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
        contexts: [
          'ExportNamedDeclaration > TSInterfaceDeclaration',
          'ExportNamedDeclaration > VariableDeclaration',
          'ExportNamedDeclaration > ClassDeclaration > ClassBody > MethodDefinition[accessibility!="private"][key.name!=/^_/][kind="method"]'
        ]
      }],
      'jsdoc/require-param': ['error', {
        checkDestructured: false,
        contexts: ['FunctionDeclaration', 'MethodDefinition[accessibility!="private"]', 'TSMethodSignature']
      }],
      'jsdoc/check-param-names': ['error', { checkDestructured: false }],
      'jsdoc/require-param-description': 'error',
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'no-unused-vars': 'off'
    }
  },
  {
    files: ['packages/*/src/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: { 'jsdoc/require-jsdoc': 'off', 'jsdoc/require-param': 'off', 'jsdoc/require-param-description': 'off' }
  }
]
