package rehearsal

import "syscall"

// childAttributes makes the kernel kill a relay's process when this process ends, even by SIGKILL, so that no relay is
// left running.
func childAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
