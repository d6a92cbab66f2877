/** Runs whole clusters of real processes and checks what callers and operators see. */
package org.siskinramp.standin.cluster;
