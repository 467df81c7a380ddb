package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cyclamenctl": main})
}

// Guards against commands whose help, exit codes or faults differ from what the pages say. The
// commands of package ctl have scripts of their own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true})
}
