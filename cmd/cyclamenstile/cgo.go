package main

import "C" // the users' platform replaces functions of the C library, which only cgo links
