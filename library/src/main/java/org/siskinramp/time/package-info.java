/** The clock and the scheduler of the library, which tests replace by virtual ones. */
package org.siskinramp.time;
