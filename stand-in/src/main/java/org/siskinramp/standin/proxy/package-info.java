/** A TCP proxy that injects connection faults. */
package org.siskinramp.standin.proxy;
