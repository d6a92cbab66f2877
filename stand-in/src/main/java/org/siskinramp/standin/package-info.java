/**
 * Stand-ins for the systems around siskinramp (platform, store, backend servers, callers) and the
 * programs that measure it. They are used in tests, in measurements and by the build of the
 * gateway.
 */
package org.siskinramp.standin;
