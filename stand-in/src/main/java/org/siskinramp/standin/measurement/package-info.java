/** Measurements of running entry hosts: scenarios, disturbances and what a run yields. */
package org.siskinramp.standin.measurement;
