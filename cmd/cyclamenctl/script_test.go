package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cyclamenctl": main})
}

// Guards against commands whose help, exit codes or error messages differ from the documentation. The
// commands of package ctl have their own scripts.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true})
}
