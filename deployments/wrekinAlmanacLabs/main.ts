import { printDeployment } from '../../src/index.js';
import { createDocumentationUrls } from '../sample.js';
import { wrekinAlmanacLabs } from './deployment.js';

printDeployment(wrekinAlmanacLabs(createDocumentationUrls()));
