package rehearsal

import "syscall"

// childAttr has a relay die with the rehearsal, also with one that is killed: none is left behind.
func childAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
