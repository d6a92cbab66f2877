/** Calls the platform's API over HTTP, as {@code docs/PLATFORM.md} specifies it. */
package org.siskinramp.daemon.platform;
