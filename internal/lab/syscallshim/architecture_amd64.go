package syscallshim

import "golang.org/x/sys/unix"

// auditArchitecture is the architecture of intercepted calls in struct seccomp_data.
const auditArchitecture = unix.AUDIT_ARCH_X86_64
