package rehearsal

import "syscall"

// childAttributes has the kernel kill a relay when the rehearsal dies, also when it is killed: no process is left.
func childAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
