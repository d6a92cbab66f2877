/** Keeps up with tables of the platform's store through its outages, and passes on what changed. */
package org.siskinramp.follow;
