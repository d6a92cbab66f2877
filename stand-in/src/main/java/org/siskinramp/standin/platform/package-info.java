/**
 * A stand-in, in memory, for the platform that {@link org.siskinramp.platform.Platform} describes:
 * its tables, its object store and its host list.
 */
package org.siskinramp.standin.platform;
