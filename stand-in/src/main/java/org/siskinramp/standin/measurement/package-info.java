/** Measurements of running entry hosts: scenarios, disturbances and the results of a run. */
package org.siskinramp.standin.measurement;
