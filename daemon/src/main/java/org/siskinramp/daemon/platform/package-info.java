/** Reaches the platform's service over HTTP, to {@code docs/PLATFORM.md}. */
package org.siskinramp.daemon.platform;
