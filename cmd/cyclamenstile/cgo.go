package main

import "C" // the users' platform interposes functions of the C library, which only cgo links
