/** The services, backend servers, availability zones and hosts that change tickets describe. */
package org.siskinramp.configuration;
