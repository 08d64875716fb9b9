#!/usr/bin/env node
// npm links a program only if its file is there at install time, before the build.
import '../dist/main.js'
