/** Replaces the version of a service's backend servers by order of the operator. */
package org.siskinramp.rollout;
