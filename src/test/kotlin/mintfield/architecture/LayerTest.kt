package mintfield.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path

/** Checks that packages depend on each other only as docs/architecture.md allows. */
class LayerTest {
    private val classes: JavaClasses by lazy { ClassFileImporter().importPath(Path.of("target/classes")) }

    @Test
    fun `core depends on no input, output, threads or clocks`() {
        noClasses()
            .that()
            .resideInAPackage("mintfield.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("mintfield.io..", "mintfield.app..", "kotlinx.coroutines..", "java.io..", "java.net..", "java.nio..", "java.util.concurrent..")
            .check(classes)
    }

    @Test
    fun `io does not depend on app`() {
        noClasses()
            .that()
            .resideInAPackage("mintfield.io..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("mintfield.app..")
            .check(classes)
    }

    @Test
    fun `constants and model depend on no other part of core`() {
        noClasses()
            .that()
            .resideInAPackage("mintfield.core.constants..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("mintfield.core.jobs..", "mintfield.core.fleet..", "mintfield.core.placement..", "mintfield.core.leadership..")
            .check(classes)
        noClasses()
            .that()
            .resideInAPackage("mintfield.core.model..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("mintfield.core.jobs..", "mintfield.core.fleet..", "mintfield.core.placement..", "mintfield.core.leadership..")
            .check(classes)
    }

    @Test
    fun `classes of all layers are imported`() {
        for (layer in listOf("mintfield.core.jobs", "mintfield.io.store", "mintfield.app.leader")) {
            assertTrue(classes.any { it.packageName.startsWith(layer) }, layer)
        }
    }
}
