#!/usr/bin/env node
// npm links the tool at installation, before the build, and only to a file that exists then.
import '../lib/src/main.js';
