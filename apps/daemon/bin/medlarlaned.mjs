#!/usr/bin/env node
// npm links the program at installation, before the build, and only to a file that exists then.
import '../lib/src/main.js';
