/** A stand-in for the platform's table service, object store and host list, in memory. */
package org.siskinramp.standin.platform;
