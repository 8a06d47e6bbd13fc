package org.comfreygap.runtime;

import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Configuration;

/**
 * Gives Dropwizard a configuration built from the validated process settings, since Dropwizard's
 * own parser stops at the first fault of a file.
 *
 * <p>Thread safety: immutable.
 */
final class FixedConfigurationFactory implements ConfigurationFactory<Configuration> {

  private final Configuration configuration;

  FixedConfigurationFactory(Configuration configuration) {
    this.configuration = configuration;
  }

  @Override
  public Configuration build(ConfigurationSourceProvider provider, String path) {
    return configuration;
  }

  @Override
  public Configuration build() {
    return configuration;
  }
}
