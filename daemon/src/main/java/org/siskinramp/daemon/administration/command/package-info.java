/** Commands of operators, which change state. */
package org.siskinramp.daemon.administration.command;
